// Package api holds the types of messages, rows, settings, answers and
// configuration. They are generated from schema/endivehill.schema.json, with
// msgpack codecs for those that nodes exchange or store.
package api

//go:generate go tool go-jsonschema --only-models --tags json,msg --package api --output types_gen.go ../../schema/endivehill.schema.json
//go:generate go tool msgp -file types_gen.go -o types_msgp.go -tests=false -io=false -d "limit arrays:16384 maps:1024"
