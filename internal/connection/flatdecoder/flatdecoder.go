// Package flatdecoder decodes JSON objects whose values are numbers, booleans and plain strings, as most datagrams
// between the processes are. It takes a fraction of the time of encoding/json, and leaves all other objects to that.
package flatdecoder

import (
	"bytes"
	"strconv"
)

// maxDigits is the number of digits of an integer that fits into 64 bits whatever they are.
const maxDigits = 18

// Decode passes the name and the text of each value of an object to set. It reports whether the object is flat, has no
// space outside of strings, and set has returned true for all values. Otherwise some values may have been passed.
func Decode(object []byte, set func(name, value []byte) bool) bool {
	if len(object) < 2 || object[0] != '{' {
		return false
	}
	if string(object) == "{}" {
		return true
	}
	for rest := object[1:]; ; rest = rest[1:] {
		name, afterName, isPlain := cutText(rest)
		if !isPlain || len(afterName) == 0 || afterName[0] != ':' {
			return false
		}
		value, afterValue := cutValue(afterName[1:])
		if len(afterValue) == 0 || !set(name[1:len(name)-1], value) {
			return false
		}
		if rest = afterValue; rest[0] != ',' {
			return len(rest) == 1 && rest[0] == '}'
		}
	}
}

// cutText returns the string with its quotes at the begin of a text, and the rest. isPlain is false if there is
// none, or one with an escape or with characters other than those of ASCII.
func cutText(text []byte) (quoted, rest []byte, isPlain bool) {
	if len(text) == 0 || text[0] != '"' {
		return nil, nil, false
	}
	for i := 1; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			return text[:i+1], text[i+1:], true
		case c == '\\' || c < ' ' || c > '~':
			return nil, nil, false
		}
	}
	return nil, nil, false
}

// cutValue returns the value at the begin of a text, and the rest; no rest if the value is a string that is not plain,
// or has no end.
func cutValue(text []byte) (value, rest []byte) {
	if len(text) > 0 && text[0] == '"' {
		value, rest, _ = cutText(text)
		return value, rest
	}
	for i, c := range text {
		if c == ',' || c == '}' {
			return text[:i], text[i:]
		}
	}
	return nil, nil
}

// Integer sets a number to a value and reports whether the value is a number that fits.
func Integer[T int | int64 | uint64](value []byte, number *T) bool {
	digits := value
	isNegative := len(value) > 0 && value[0] == '-'
	if isNegative {
		digits = value[1:]
	}
	if !areDigits(digits) || len(digits) > maxDigits || (digits[0] == '0' && len(value) > 1) {
		return false
	}
	var sum T
	for _, c := range digits {
		sum = 10*sum + T(c-'0')
	}
	if isNegative {
		if sum = -sum; sum > 0 {
			return false // T has no negative numbers
		}
	}
	*number = sum
	return true
}

// Decimal sets a number to a value and reports whether the value is a number without sign and exponent.
func Decimal(value []byte, number *float64) bool {
	whole, fraction, hasFraction := bytes.Cut(value, []byte("."))
	if !areDigits(whole) || (whole[0] == '0' && len(whole) > 1) || (hasFraction && !areDigits(fraction)) {
		return false
	}
	parsed, err := strconv.ParseFloat(string(value), 64)
	*number = parsed
	return err == nil
}

func areDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) > 0
}

// Text sets a text to a value and reports whether the value is a string.
func Text(value []byte, text *string) bool {
	if len(value) < 2 || value[0] != '"' {
		return false
	}
	if content := value[1 : len(value)-1]; string(content) != *text {
		*text = string(content)
	}
	return true
}

// Flag sets a boolean to a value and reports whether the value is one.
func Flag(value []byte, flag *bool) bool {
	*flag = string(value) == "true"
	return *flag || string(value) == "false"
}
