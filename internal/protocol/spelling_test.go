package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
)

// member is a member of a JSON object. Its value is a []member, []any, string, json.Number, bool or
// nil.
type member struct {
	name  string
	value any
}

// errDuplicateName is the error about an object of which two members have the same name. What such an
// object means is not defined, and depends on their order.
var errDuplicateName = errors.New("duplicate name")

// readValue reads one JSON value with the order of its members.
func readValue(decoder *json.Decoder) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readMembers(decoder)
	case json.Delim('['):
		return readElements(decoder)
	}
	return token, nil
}

func readMembers(decoder *json.Decoder) (any, error) {
	members := []member{}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		value, err := readValue(decoder)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(members, func(m member) bool { return m.name == name }) {
			return nil, errDuplicateName
		}
		members = append(members, member{name.(string), value})
	}
	_, err := decoder.Token()
	return members, err
}

func readElements(decoder *json.Decoder) (any, error) {
	elements := []any{}
	for decoder.More() {
		value, err := readValue(decoder)
		if err != nil {
			return nil, err
		}
		elements = append(elements, value)
	}
	_, err := decoder.Token()
	return elements, err
}

// speller writes JSON values in random spellings that mean the same to every receiver that ignores
// unknown members.
type speller struct {
	rng *rand.Rand
	out strings.Builder
}

// respell returns another spelling of a JSON text, or false if the text is not valid JSON or has an
// object with duplicate names.
func respell(body []byte, seed uint64) ([]byte, bool) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	value, err := readValue(decoder)
	if err != nil || !json.Valid(body) {
		return nil, false
	}
	s := &speller{rng: rand.New(rand.NewPCG(seed, 3))}
	s.value(value)
	return []byte(s.out.String()), true
}

func (s *speller) value(value any) {
	s.space()
	switch v := value.(type) {
	case []member:
		s.object(v)
	case []any:
		s.out.WriteByte('[')
		for i, element := range v {
			if i > 0 {
				s.out.WriteByte(',')
			}
			s.value(element)
		}
		s.out.WriteByte(']')
	case string:
		s.text(v)
	case json.Number:
		s.number(string(v))
	default:
		fmt.Fprint(&s.out, map[any]string{nil: "null", true: "true", false: "false"}[v])
	}
	s.space()
}

// space writes white space, most often none.
func (s *speller) space() {
	for s.rng.IntN(4) == 0 {
		s.out.WriteByte(" \t\r\n"[s.rng.IntN(4)])
	}
}

// object writes the members in random order, among unknown ones. Members that are null may be left out.
func (s *speller) object(members []member) {
	written := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return m.value == nil && s.rng.IntN(2) == 0 })
	for _, m := range members {
		if name := s.similarName(m.name); s.rng.IntN(3) == 0 && !slices.ContainsFunc(members, func(o member) bool { return o.name == name }) {
			written = append(written, member{name, s.foreignValue(members)})
		}
	}
	s.rng.Shuffle(len(written), func(i, j int) { written[i], written[j] = written[j], written[i] })
	s.out.WriteByte('{')
	for i, m := range written {
		if i > 0 {
			s.out.WriteByte(',')
		}
		s.space()
		s.text(m.name)
		s.space()
		s.out.WriteByte(':')
		s.value(m.value)
	}
	s.out.WriteByte('}')
}

// similarName returns an unknown name that resembles a known one.
func (s *speller) similarName(name string) string {
	switch s.rng.IntN(5) {
	case 0:
		return strings.ToUpper(name)
	case 1:
		return strings.ToUpper(name[:min(1, len(name))]) + name[min(1, len(name)):]
	case 2:
		return strings.NewReplacer("s", "\u017f", "k", "\u212a").Replace(name) // equal under case folding
	case 3:
		return name + " "
	}
	return "x_" + name
}

// foreignValue returns a value for an unknown member.
func (s *speller) foreignValue(members []member) any {
	values := []any{nil, true, "run-999999", "", json.Number("-7.5e3"), json.Number("1e999"), []any{"x", json.Number("1")}, []any{}, []member{}, members}
	return values[s.rng.IntN(len(values))]
}

// text writes a string with some characters escaped.
func (s *speller) text(text string) {
	s.out.WriteByte('"')
	for _, r := range text {
		switch {
		case r == '/' && s.rng.IntN(2) == 0:
			s.out.WriteString(`\/`)
		case r < 0x10000 && (r < ' ' || r == '"' || r == '\\' || r == utf8.RuneError || s.rng.IntN(4) == 0):
			fmt.Fprintf(&s.out, `\u%04x`, r)
		default:
			s.out.WriteRune(r)
		}
	}
	s.out.WriteByte('"')
}

// number writes a number with another exponent, or with zeros added to its fraction.
func (s *speller) number(number string) {
	mantissa, _, hasExponent := strings.Cut(strings.ToLower(number), "e")
	if hasExponent || s.rng.IntN(3) == 0 {
		s.out.WriteString(number)
		return
	}
	whole, fraction, _ := strings.Cut(mantissa, ".")
	switch zeros := strings.Repeat("0", s.rng.IntN(3)); s.rng.IntN(3) {
	case 0:
		s.out.WriteString(whole + "." + fraction + "0" + zeros)
	case 1:
		s.out.WriteString(whole + "." + fraction + "0" + zeros + []string{"e0", "E+00", "e-0"}[s.rng.IntN(3)])
	default:
		if strings.TrimLeft(whole, "-0") == "" {
			s.out.WriteString(number)
			return
		}
		fmt.Fprintf(&s.out, "%s%s%se-%d", whole, fraction, zeros, len(fraction)+len(zeros))
	}
}

// incomingBodies are sound bodies of every kind that a controller receives as JSON, each with a parser
// that returns what the controller makes of it.
var incomingBodies = []struct {
	name, body string
	parse      func(body []byte) (any, error)
}{
	{"submission", validJob, func(b []byte) (any, error) { return ParseJob(b) }},
	{"submission of an array", strings.NewReplacer(`"gang"`, `"array"`, `["g8"]`, `["g8","k4"]`, `null`, `"yard/k"`, `16`, `100000`).Replace(validJob),
		func(b []byte) (any, error) { return ParseJob(b) }},
	{"heartbeat", `{"berth":"i-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"tenure":1,"tally":18446744073709551615,"warrant":41,
		"recall_s":null,"pieces":[{"piece":"run-000412/3","try":2,"phase":"running"},{"piece":"run-000398/0","try":1,"phase":"exited","cause":"stopped","kept":true}]}`,
		func(b []byte) (any, error) { return ParseHeartbeat(b) }},
	{"machine types", `{"builds":[{"label":"g8","cpus":96,"gpus":8,"memory_gb":768,"cache_gb":200,"fetch_gb_per_s":1.0,"hourly":12.0,"low_price":4.5,"startup_s":45,"yards":["a","b"]}]}`,
		parseAs[MachineTypes]},
	{"machine list", `{"berths":[{"uid":"i-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"phase":"running","age_s":61.5}],"truncated":true}`,
		parseAs[MachineList]},
	{"created machines", `{"berths":["i-000231","i-000232"]}`, parseAs[MachineIDs]},
	{"entry", `{"k":"a/b","stamp":412,"permit":7}`, parseAs[Entry]},
	{"page of entries", `{"entries":[{"k":"a/b","stamp":412,"permit":7},{"k":"a/c","stamp":9}],"truncated":true,"ledger":431}`, parseAs[Entries]},
	{"transaction's response", `{"failed":["a/b","a/c"],"ledger":431}`, parseAs[TransactionResponse]},
	{"lease", `{"permit":7}`, parseAs[LeaseResponse]},
	{"watch's response", `{"ledger":433,"news":[{"set":"c/9","stamp":433},{"delete":"c/d","stamp":432}]}`, parseAs[WatchResponse]},
}

// parseAs decodes a body as a controller does.
func parseAs[T any](body []byte) (any, error) {
	var value T
	err := Unmarshal(body, &value)
	return value, err
}

// TestRespelledBodyMeansTheSame guards against a sound body that is refused, or read as another one,
// because of unknown members, the order of members or the spelling of names, strings and numbers.
func TestRespelledBodyMeansTheSame(t *testing.T) {
	for _, incoming := range incomingBodies {
		t.Run(incoming.name, func(t *testing.T) {
			want, err := incoming.parse([]byte(incoming.body))
			if err != nil {
				t.Fatal(err)
			}
			for seed := range uint64(2000) {
				body, _ := respell([]byte(incoming.body), seed)
				got, err := incoming.parse(body)
				if err != nil {
					t.Fatalf("seed %d: %v in %s", seed, err, body)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("seed %d: %s in %s", seed, diff, body)
				}
			}
		})
	}
}

// FuzzRespelledBody compares what the parsers make of any body and of another spelling of it.
func FuzzRespelledBody(f *testing.F) {
	for _, incoming := range incomingBodies {
		f.Add([]byte(incoming.body), uint64(1))
	}
	f.Fuzz(func(t *testing.T, body []byte, seed uint64) {
		respelled, valid := respell(body, seed)
		if !valid || !utf8.Valid(body) {
			return
		}
		for _, incoming := range incomingBodies {
			want, err := incoming.parse(body)
			if err != nil {
				continue
			}
			got, err := incoming.parse(respelled)
			if diff := cmp.Diff(want, got); err != nil || diff != "" {
				t.Errorf("%s: %v, %s in %s", incoming.name, err, diff, respelled)
			}
		}
	})
}
