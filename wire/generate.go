// Package wire contains the messages between processes, the encoding of records in
// the platform's store, and the conversion of the operators' document from and to
// YAML.
package wire

//go:generate go tool -modfile=../tools/go.mod buf generate
