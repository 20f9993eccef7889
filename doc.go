// Package foxtailwharf defines the domain types of the system and the interfaces between its parts.
// The implementations are in the packages below internal, which are grouped by the lifetime of their
// objects: request, connection, version and process.
package foxtailwharf
