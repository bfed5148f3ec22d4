package api

import (
	"bytes"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// Guards against a bound on lists that also refuses large bodies and answers.
func TestLargeAnswerPassesCodec(t *testing.T) {
	in := ExecuteResponse{Status: 200, Body: bytes.Repeat([]byte{1}, 4<<20)}
	data, err := in.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	var out ExecuteResponse
	if _, err := out.UnmarshalMsg(data); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(in.Body, out.Body) {
		t.Error("the body changed on the way")
	}
}

// Guards against a short message that makes the decoder allocate a huge list.
func TestListLengthIsBounded(t *testing.T) {
	data := msgp.AppendMapHeader(nil, 1)
	data = msgp.AppendString(data, "jobs")
	data = msgp.AppendArrayHeader(data, 1<<31)
	var out JobList
	if _, err := out.UnmarshalMsg(data); err == nil {
		t.Error("a list of 2^31 jobs was accepted")
	}
}
