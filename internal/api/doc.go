// Package api holds the types of messages, rows, settings, answers and
// configuration. They are generated from schema/endivehill.schema.json, with
// msgpack codecs for those that nodes exchange or store.
package api

// TaskProgress and WorkerLeaseEnd are stored many times in one row, so they are encoded as a
// list of their values. Their fields must not change.

// The codecs bound the lengths that they allocate for. The bound of lists also
// applied to byte strings and refused answers above 16 KiB, so these get the
// bound of a frame.

//go:generate go tool go-jsonschema --only-models --tags json,msg --package api --output types_gen.go ../../schema/endivehill.schema.json
//go:generate sed -i -E "s/(\\[\\]byte .*msg:\"[a-z_]+)/\\1,limit=8388608/" types_gen.go
//go:generate go tool msgp -file types_gen.go -o types_msgp.go -tests=false -io=false -d "limit arrays:16384 maps:1024" -d "tuple TaskProgress" -d "tuple DoneTasks" -d "tuple GangFailure" -d "tuple InactiveTask" -d "tuple WorkerLeaseEnd"
