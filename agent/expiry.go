package agent

// expiryHeap is a binary min-heap of records, ordered by expiry.
type expiryHeap []*record

func (h *expiryHeap) push(r *record) {
	*h = append(*h, r)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if s[parent].expiry <= s[i].expiry {
			return
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
}

func (h *expiryHeap) pop() *record {
	s := *h
	top := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s[last] = nil
	s = s[:last]
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(s) && s[child].expiry < s[least].expiry {
				least = child
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	*h = s
	return top
}
