package strict

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func structType(into any) reflect.Type { return reflect.TypeOf(into).Elem() }

// fieldTypes returns the types of a struct's fields by TOML key.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if name := f.Tag.Get("toml"); name != "" && name != "-" {
			known[name] = f.Type
		}
	}
	return known
}

func (d *Document) checkStruct(path string, tree map[string]any, t reflect.Type) {
	known := fieldTypes(t)
	for _, key := range sortedKeys(tree) {
		full := joinKey(path, key)
		field, ok := known[key]
		if !ok {
			d.Report(full, "unknown key", "remove it"+suggestion(key, known))
			continue
		}
		d.checkValue(full, tree[key], field)
	}
}

func (d *Document) checkValue(path string, value any, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		d.checkText(path, value, t)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			d.reportWrongType(path, value, "a table")
			return
		}
		d.checkStruct(path, tree, t)
	case reflect.Slice:
		items, ok := value.([]any)
		if !ok {
			d.reportWrongType(path, value, "an array")
			return
		}
		for i, item := range items {
			d.checkValue(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
		}
	default:
		d.checkScalar(path, value, t)
	}
}

func (d *Document) checkText(path string, value any, t reflect.Type) {
	text, ok := value.(string)
	if !ok {
		d.reportWrongType(path, value, `a time with a unit, such as "250ms" or "10s"`)
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.Report(path, fmt.Sprintf("%q is not a time", text), `write a number with a unit, such as "250ms" or "10s"`)
	}
}

func (d *Document) checkScalar(path string, value any, t reflect.Type) {
	switch t.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			d.reportWrongType(path, value, "a string")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			d.reportWrongType(path, value, "true or false")
		}
	case reflect.Float64:
		switch value.(type) {
		case float64, int64:
		default:
			d.reportWrongType(path, value, "a number")
		}
	default:
		d.checkInteger(path, value, t)
	}
}

func (d *Document) checkInteger(path string, value any, t reflect.Type) {
	n, ok := value.(int64)
	if !ok {
		d.reportWrongType(path, value, "a whole number")
		return
	}
	probe := reflect.New(t).Elem()
	if probe.CanUint() {
		if n < 0 || probe.OverflowUint(uint64(n)) {
			d.Report(path, fmt.Sprintf("%d is out of range", n), "write a smaller number that is not negative")
		}
		return
	}
	if probe.OverflowInt(n) {
		d.Report(path, fmt.Sprintf("%d is out of range", n), "write a smaller number")
	}
}

func (d *Document) reportWrongType(path string, value any, want string) {
	d.Report(path, fmt.Sprintf("%v is not %s", value, want), "write "+want)
}

func sortedKeys(tree map[string]any) []string {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// suggestion proposes the known key with the smallest edit distance, if that is at most
// 2, and otherwise lists the known keys.
func suggestion(key string, known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	best, bestDistance := "", 3
	for _, name := range names {
		if d := distance(key, name); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	if best != "" {
		return fmt.Sprintf(", or did you mean %q", best)
	}
	return "; known keys are " + strings.Join(names, ", ")
}

// distance returns the Levenshtein distance between a and b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
