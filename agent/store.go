package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"merlinhall/weights"
)

const (
	// headerDigest is the header of store responses that carries the SHA-256 digest
	// of the complete weight version, in hexadecimal.
	headerDigest = "Merlinhall-Digest"
	// storeReadAhead is the maximum number of parts from the store that wait to be
	// handled by the distributor.
	storeReadAhead = 4
)

// storePart is a part of a version read from the store, or the error that ended the
// read.
type storePart struct {
	reader *storeReader
	offset int64
	data   []byte
	size   int64
	digest string
	err    error
}

// storeReader reads one weight version from the store.
type storeReader struct {
	cancel context.CancelFunc
	slots  chan struct{} // holds one element for each part that is being posted or waits to be handled
	post   func(any) bool
}

func readStore(ctx context.Context, transport http.RoundTripper, url string, offset int64, post func(any) bool) *storeReader {
	ctx, cancel := context.WithCancel(ctx)
	r := &storeReader{cancel: cancel, slots: make(chan struct{}, storeReadAhead), post: post}
	go func() {
		if err := r.read(ctx, transport, url, offset); err != nil {
			post(storePart{reader: r, err: err})
		}
	}()
	return r
}

func (r *storeReader) read(ctx context.Context, transport http.RoundTripper, url string, offset int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "create weight store request")
	}
	if offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", offset))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return eris.Wrap(err, "request weights from the store")
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusOK:
		offset = 0
	case resp.StatusCode != http.StatusPartialContent:
		return eris.Errorf("weight store answered with status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 || resp.Header.Get(headerDigest) == "" {
		return eris.New("weight store response lacks Content-Length or digest header")
	}
	return r.copy(ctx, resp, offset)
}

func (r *storeReader) copy(ctx context.Context, resp *http.Response, offset int64) error {
	part := storePart{reader: r, size: offset + resp.ContentLength, digest: resp.Header.Get(headerDigest)}
	for offset < part.size {
		data := make([]byte, min(weights.PartBytes, part.size-offset))
		if _, err := io.ReadFull(resp.Body, data); err != nil {
			return eris.Wrap(err, "read weights from the store")
		}
		part.offset, part.data = offset, data
		select {
		case r.slots <- struct{}{}:
			r.post(part)
		case <-ctx.Done():
			return ctx.Err()
		}
		offset += int64(len(data))
	}
	return nil
}
