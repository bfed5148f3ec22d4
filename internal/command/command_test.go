package command

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const fakeID = "01980000-0000-7000-8000-000000000001"

// transcript records the commands of one session and what they print.
type transcript struct {
	t       *testing.T
	address string
	dir     string
	env     map[string]string
	log     bytes.Buffer
}

func newTranscript(t *testing.T, address string) *transcript {
	return &transcript{t: t, address: address, dir: t.TempDir(),
		env: map[string]string{keyEnv: operatorKey}}
}

// run runs a command line without a terminal and returns the exit code.
func (r *transcript) run(line string) int { return r.runWith("", false, line) }

// answer runs a command line at a terminal where input is typed.
func (r *transcript) answer(input, line string) int { return r.runWith(input, true, line) }

func (r *transcript) runWith(input string, terminal bool, line string) int {
	r.t.Helper()
	var out, errOut bytes.Buffer
	s := &session{
		in: strings.NewReader(input), out: &out, err: &errOut, terminal: terminal,
		getenv: func(name string) string { return r.env[name] },
		now:    func() time.Time { return time.UnixMilli(1_780_000_000_000) },
		newID:  func() (string, error) { return fakeID, nil },
	}
	args := strings.Fields(strings.NewReplacer("ADDR", r.address, "DIR", r.dir).Replace(line))
	code := s.run(context.Background(), append([]string{"endivehill"}, args...))
	fmt.Fprintf(&r.log, "$ endivehill %s\n", line)
	if terminal {
		fmt.Fprintf(&r.log, "(typed: %q)\n", input)
	}
	r.log.Write(out.Bytes())
	for _, l := range strings.SplitAfter(errOut.String(), "\n") {
		if l != "" {
			r.log.WriteString("! " + strings.TrimSuffix(l, "\n") + "\n")
		}
	}
	fmt.Fprintf(&r.log, "exit code %d\n\n", code)
	return code
}

// compare checks the transcript against a golden file.
func (r *transcript) compare(name string) {
	r.t.Helper()
	got := strings.NewReplacer(r.address, "ADDR", r.dir, "DIR").Replace(r.log.String())
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		r.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		r.t.Errorf("transcript differs from %s (-want +got):\n%s", file, diff)
	}
}

func (r *transcript) write(name string, data []byte) {
	r.t.Helper()
	if err := os.WriteFile(filepath.Join(r.dir, name), data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *transcript) writeConfiguration(name string, c api.Configuration) {
	r.t.Helper()
	data, err := config.Encode(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.write(name, data)
}

const smallAnswers = `{"format": 1, "cell": "small", "pools": [{"name": "desk", "region": "north", "cores": 16, "memory_gb": 64,
	"slots": 8, "connections": 64, "racks": [{"name": "rack-1", "failure_domain": "north-a", "vms": 2}]}],
	"teams": [{"name": "quotes", "share": 10, "limit": {"slots": 16},
	"runs": [{"name": "check", "pool": "desk", "class": "request", "urgency": "urgent", "idempotent": true}]}]}`

func smallConfiguration(t *testing.T) api.Configuration {
	t.Helper()
	a, err := config.Parse([]byte(smallAnswers))
	if err != nil {
		t.Fatal(err)
	}
	return config.Generate(a)
}

// Guards against a change in what the config verbs print, ask or return: an
// operator's script and version control rely on them.
func TestConfigSession(t *testing.T) {
	before := smallConfiguration(t)
	after := smallConfiguration(t)
	after.Teams[0].Limit.Slots = 4
	r := newTranscript(t, newFakeAPI(t, before))
	r.write("answers.json", []byte(smallAnswers))
	r.write("wrong.json", []byte(strings.NewReplacer(`"slots": 16`, `"slots": 17`, `"pool": "desk"`, `"pool": "attic"`).Replace(smallAnswers)))
	r.write("unknown.json", []byte(strings.Replace(smallAnswers, `"share"`, `"shares"`, 1)))
	r.writeConfiguration("old.json", before)
	r.writeConfiguration("new.json", after)
	for _, line := range []string{
		"config generate DIR/answers.json",
		"config generate DIR/wrong.json",
		"config check DIR/answers.json",
		"config check DIR/new.json",
		"config check DIR/unknown.json",
		"config check DIR/missing.json",
		"config diff DIR/old.json DIR/new.json",
		"config diff --output json DIR/old.json DIR/new.json",
		"config plan --address ADDR DIR/new.json",
		"config apply --address ADDR DIR/new.json",
	} {
		r.run(line)
	}
	r.answer("n\n", "config apply --address ADDR DIR/new.json")
	r.answer("y\n", "config apply --address ADDR DIR/new.json")
	for _, line := range []string{
		"config apply --address ADDR DIR/new.json",
		"config apply --address ADDR --yes --base 1 DIR/old.json",
		"config apply --address ADDR --yes --base 2 --output json DIR/old.json",
		"config show --address ADDR --version 9",
		"config show --address ADDR",
	} {
		r.run(line)
	}
	r.compare("config")
}

// Guards against an apply that overwrites the version of another operator, and
// against one that counts as done before every node confirmed it.
func TestConfigApplyRaceAndUnconfirmed(t *testing.T) {
	before := smallConfiguration(t)
	after := smallConfiguration(t)
	after.Teams[0].Share = 11
	f := &fakeAPI{version: 1, document: before, race: true}
	r := newTranscript(t, f.start(t))
	r.writeConfiguration("new.json", after)
	if code := r.run("config apply --address ADDR --yes DIR/new.json"); code != 5 {
		t.Errorf("race: exit code %d, want 5", code)
	}
	f.race = false
	f.unconfirmed = []string{"node-2", "node-3"}
	if code := r.run("config apply --address ADDR --yes DIR/new.json"); code != 10 {
		t.Errorf("unconfirmed: exit code %d, want 10", code)
	}
	if code := r.run("config apply --address ADDR --yes --base 2 DIR/new.json"); code != 0 {
		t.Errorf("repeated: exit code %d, want 0", code)
	}
	r.compare("apply")
}

// Guards against a key verb that destroys without asking, and a change in
// their output.
func TestKeySession(t *testing.T) {
	r := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	r.write("key", []byte(operatorKey+"\n"))
	r.run("key grant --address ADDR --team quotes")
	r.run("key grant --address ADDR --role operator --output json")
	r.run("key grant --address ADDR")
	r.run("key grant --address ADDR --role king")
	r.run("key withdraw --address ADDR k1")
	r.answer("", "key withdraw --address ADDR k1")
	r.answer("yes\n", "key withdraw --address ADDR k1")
	r.run("key withdraw --address ADDR --yes k9")
	r.run("key list --address ADDR")
	r.run("key list --address ADDR --key wrong")
	r.env = nil
	r.run("key list --address ADDR --key-file DIR/key")
	r.run("key list --address ADDR --key-file DIR/key --key x")
	r.run("key list --address ADDR")
	r.compare("key")
}

// Guards against a change in what the job verbs print and return.
func TestJobSession(t *testing.T) {
	r := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	r.write("job.json", []byte(`{"id": "cut-1", "queue": "workshop.cut-list-build", "tasks": 2, "resources": {"cpu_millis": 500}}`))
	r.run("job submit --address ADDR DIR/job.json")
	r.run("job submit --address ADDR --queue workshop.cut-list-build --deadline 1h --output json")
	r.run("job submit --address ADDR --queue workshop.cut-list-build --cpu-millis 64001")
	r.run("job submit --address ADDR --queue workshop.cut-list-build --tasks 0 --cpu-millis -1")
	r.run("job submit --address ADDR --tasks 3 DIR/job.json")
	r.run("job submit --address ADDR")
	r.run("job status --address ADDR --tasks cut-1")
	r.run("job status --address ADDR cut-9")
	r.run("job cancel --address ADDR cut-1")
	r.answer("y\n", "job cancel --address ADDR cut-1")
	r.run("job list --address ADDR --state canceled")
	r.run("job list --address ADDR --limit 0")
	r.compare("job")
}

// Guards against a request that fails without telling its ID and outcome, with
// which it can be repeated safely.
func TestRequestSession(t *testing.T) {
	r := newTranscript(t, newFakeAPI(t, smallConfiguration(t)))
	r.run("request --address ADDR --data tower quotes.check")
	r.run("request --address ADDR --data tower --request-id 7 --output json quotes.check")
	r.run("request --address ADDR --file DIR/missing quotes.check")
	r.run("request --address ADDR quotes.price")
	r.run("request --address ADDR orders.place")
	r.run("request --address ADDR orders.nothing")
	r.run("request --address ADDR --deadline -1s orders.place")
	r.run("request --address ADDR")
	r.run("request quotes.check")
	r.run("state --address ADDR")
	r.run("version")
	r.run("versio")
	r.run("job frobnicate")
	r.run("job list --nope")
	r.compare("request")
}

// Guards against a verb without help, an example or completion.
func TestEveryVerbHasHelp(t *testing.T) {
	s := &session{}
	for _, group := range s.root().Commands {
		if group.Usage == "" {
			t.Errorf("%s has no usage", group.Name)
		}
		for _, verb := range group.Commands {
			if verb.Usage == "" || !strings.Contains(verb.Description, "Example") {
				t.Errorf("%s %s has no usage or example", group.Name, verb.Name)
			}
		}
	}
	r := newTranscript(t, "")
	r.run("config apply --help")
	r.run("config --generate-shell-completion")
	if out := r.log.String(); !strings.Contains(out, "--yes") || !strings.Contains(out, "generate") {
		t.Errorf("help or completion is missing:\n%s", out)
	}
}
