package owner

import (
	"context"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

func explainedCall(queue string) *api.ExplainCall {
	return &api.ExplainCall{Work: api.WorkSpec{Id: "0000000000000001", Queue: queue, Team: testTeam, Steps: []api.StepSpec{{Count: 1}}}}
}

// Guards against an explanation by a node that does not own the cell or whose records are being
// loaded, and against a call that waits for them.
func TestExplainNeedsALoadedOwner(t *testing.T) {
	owner := newTestTenure(memoryStore{})
	if _, err := owner.Explain(t.Context(), explainedCall(testQueue)); !errkind.Is(err, errkind.OwnerUnavailable) {
		t.Errorf("without a tenure: %v", err)
	}
	owner.loaded = make(chan struct{})
	owner.currentTenure.Store(owner.tenure)
	if _, err := owner.Explain(context.Background(), explainedCall(testQueue)); !errkind.Is(err, errkind.OwnerUnavailable) {
		t.Errorf("while the records are being loaded: %v", err)
	}
}

// Guards against a call from another node that is not answered by the core, or that the owner
// takes unchecked.
func TestExplainAnswersOtherNodes(t *testing.T) {
	owner := newTestTenure(memoryStore{})
	owner.options.Settings.Node = "node-1"
	if !owner.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	owner.serve(t)
	handle := owner.Handlers()[api.MethodExplain]
	call := func(in *api.ExplainCall) (*api.ExplainAnswer, error) {
		payload, err := in.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		out, err := handle(t.Context(), payload)
		if err != nil {
			return nil, err
		}
		return out.(*api.ExplainAnswer), nil
	}
	out, err := call(explainedCall(testQueue))
	if err != nil || out.Owner != "node-1" || out.Pool != testPool || out.ConfigVersion != 1 || len(out.Steps) != 1 {
		t.Errorf("%+v, %v", out, err)
	}
	if _, err := call(explainedCall("nowhere")); !errkind.Is(err, errkind.NotFound) || errkind.From(err).Field != "queue" {
		t.Errorf("unknown queue: %v", err)
	}
	invalid := explainedCall(testQueue)
	invalid.Work.Steps = nil
	if _, err := call(invalid); !errkind.Is(err, errkind.InvalidArgument) {
		t.Errorf("work without steps: %v", err)
	}
	if _, err := handle(t.Context(), []byte{0xc1}); !errkind.Is(err, errkind.InvalidArgument) {
		t.Errorf("malformed call: %v", err)
	}
}
