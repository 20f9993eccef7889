// Package pruner bounds the nesting of JSON from outside. encoding/json refuses a whole text of which one value is
// nested too deeply, also if that value is one of many entries.
package pruner

import "bytes"

const (
	// maxDepth is the number of arrays and objects around a value that is kept.
	maxDepth = 64
	// marker stands in place of a value that is nested more deeply. It has escapes that no encoder writes.
	marker = `"\u006eested too \u0064eeply"`
)

// Prune replaces the arrays and objects of a JSON text that are nested too deeply.
func Prune(data []byte) []byte {
	p := pruner{out: make([]byte, 0, len(data))}
	for _, c := range data {
		p.add(c)
	}
	return p.out
}

// IsPruned reports whether a value was left out of a text.
func IsPruned(data []byte) bool {
	return bytes.Contains(data, []byte(marker))
}

// pruner copies a text byte by byte.
type pruner struct {
	out       []byte
	depth     int
	isString  bool
	isEscaped bool
}

func (p *pruner) add(c byte) {
	wasDeep := p.depth > maxDepth
	switch {
	case p.isEscaped:
		p.isEscaped = false
	case p.isString:
		p.isEscaped = c == '\\'
		p.isString = c != '"'
	case c == '"':
		p.isString = true
	case c == '[' || c == '{':
		p.depth++
	case c == ']' || c == '}':
		p.depth--
	}
	isDeep := p.depth > maxDepth
	switch {
	case isDeep && !wasDeep:
		p.out = append(p.out, marker...)
	case !isDeep && !wasDeep:
		p.out = append(p.out, c)
	}
}
