// Package wire defines the messages that the processes of the system exchange. The types are
// generated from the JSON schema in messages.json. Durations are whole milliseconds, digests are
// lower-case hexadecimal.
package wire

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --tags json -p wire -o messages.go messages.json
