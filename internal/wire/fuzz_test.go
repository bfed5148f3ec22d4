package wire

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
)

// seedFrames returns a well-formed frame and likely malformed variants of it.
func seedFrames(f *testing.F) [][]byte {
	whole, err := encodeMessage(&api.Frame{
		CallId: 7, Kind: api.FrameKindRequest, Method: api.MethodPing, Payload: []byte{0x80}, TimeoutMs: 500,
	})
	if err != nil {
		f.Fatal(err)
	}
	seeds := [][]byte{nil, {0}, {0, 0, 0, 0}, {0, 0, 0, 1}, {0xff, 0xff, 0xff, 0xff}, {0, 0x7f, 0xff, 0xff, 1, 2, 3}, whole}
	seeds = append(seeds, whole[:len(whole)/2], append([]byte{0, 0, 0, 5}, whole...))
	for i := lengthBytes; i < len(whole); i += 7 {
		damaged := bytes.Clone(whole)
		damaged[i] ^= 0xff
		seeds = append(seeds, damaged)
	}
	// A map, an array and a byte string whose length exceeds the following data.
	return append(seeds,
		[]byte{0, 0, 0, 5, 0xdf, 0xff, 0xff, 0xff, 0xff},
		[]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff},
		append([]byte{0, 0, 0, 14, 0x81, 0xa7}, []byte("payload\xc6\xff\xff\xff\xff")...))
}

// FuzzReadFrame checks that no input crashes the decoder or uses memory out of proportion
// to its size, and that an accepted frame is accepted again after it is encoded.
func FuzzReadFrame(f *testing.F) {
	for _, s := range seedFrames(f) {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		frame, err := readFrame(bytes.NewReader(data))
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > uint64(8*len(data)+4*readChunkBytes) {
			t.Errorf("%d bytes allocated for %d bytes of input", got, len(data))
		}
		if err != nil {
			return
		}
		again, err := encodeMessage(&frame)
		if err != nil {
			t.Fatalf("an accepted frame cannot be encoded: %v", err)
		}
		if _, err := readFrame(bytes.NewReader(again)); err != nil {
			t.Fatalf("an accepted frame is not accepted again: %v", err)
		}
	})
}
