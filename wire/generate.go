// Package wire holds the messages between processes and the conversion of the
// operators' document from and to YAML.
package wire

//go:generate go tool -modfile=../tools/go.mod buf generate
