package prefix_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/prefix"
)

// pieceTokens is the size of a piece in tokens in these tests.
const pieceTokens = 10

// msgs returns user messages with the given texts.
func msgs(texts ...string) []prefix.Message {
	var out []prefix.Message
	for _, s := range texts {
		out = append(out, prefix.Message{Role: "user", Content: s})
	}
	return out
}

func TestCut(t *testing.T) {
	x := strings.Repeat
	for _, tt := range []struct {
		name           string
		in             []prefix.Message
		levels, shared int
	}{
		{"nothing", nil, 0, 0},
		{"less than a piece", msgs("short"), 0, 0},
		{"one message of two pieces", msgs(x("a", 80)), 2, 2},
		{"shared part of two pieces, short question", msgs(x("a", 90), "q"), 2, 2},
		{"question reaches into a third piece", msgs(x("a", 90), x("q", 60)), 4, 2},
		{"only the question is long", msgs("a", x("q", 100)), 2, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := prefix.Cut("w", "m", tt.in, pieceTokens)
			is.Equal(len(p.Levels), tt.levels)
			is.Equal(p.SharedLevels, tt.shared)
			for i, l := range p.Levels {
				is.Equal(l.Tokens, (i+1)*pieceTokens)
			}
		})
	}
}

// TestLevelsAreNested checks that two prompts share exactly the levels that end inside
// their common beginning, and that prompts of other workspaces or models share none.
func TestLevelsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 60, 200)
		shared := text.Draw(t, "shared")
		a := prefix.Cut("w", "m", msgs(shared+"A"+text.Draw(t, "a")), pieceTokens)
		b := prefix.Cut("w", "m", msgs(shared+"B"+text.Draw(t, "b")), pieceTokens)
		inside := (len("user\n") + len(shared)) / (4 * pieceTokens)
		for i := range min(len(a.Levels), len(b.Levels)) {
			if same := a.Levels[i].Hash == b.Levels[i].Hash; same != (i < inside) {
				t.Fatalf("level %d: same %v, %d levels are inside the common beginning", i, same, inside)
			}
		}
		for _, o := range []vane.Prompt{
			prefix.Cut("v", "m", msgs(shared+"A"), pieceTokens), prefix.Cut("w", "n", msgs(shared+"A"), pieceTokens), prefix.Cut("wm", "", msgs(shared+"A"), pieceTokens),
		} {
			for i := range min(len(a.Levels), len(o.Levels)) {
				if a.Levels[i].Hash == o.Levels[i].Hash {
					t.Fatal("another workspace or model shares a level")
				}
			}
		}
	})
}

// TestSaltsDiffer checks that different combinations of workspace, model, version, engine
// and incarnation give different salts.
func TestSaltsDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[string]string{}
	for _, ws := range []string{"w", "v", ""} {
		for _, model := range []string{"m", "mv", "w"} {
			for _, version := range []string{"v1", "v2", "1"} {
				for _, name := range []string{"e1", "e2"} {
					for inc := range uint64(3) {
						u := vane.Upstream{Name: name, Model: model, Version: version, Incarnation: inc}
						s := prefix.Salt("secret", ws, u)
						is.Equal(seen[s], "")
						seen[s] = fmt.Sprint(ws, u)
					}
				}
			}
		}
	}
}

func FuzzCut(f *testing.F) {
	f.Add("w", "m", "user", "text", 3)
	f.Add("", "", "", strings.Repeat("\xff", 100), 1)
	f.Fuzz(func(t *testing.T, ws, model, role, text string, n int) {
		size := 1 + n&63
		p := prefix.Cut(ws, model, []prefix.Message{{Role: role, Content: text}, {Role: role, Content: text}}, size)
		if p.SharedLevels > len(p.Levels) || len(p.Levels) > p.Tokens/size+1 {
			t.Fatalf("%d levels, %d shared, %d tokens", len(p.Levels), p.SharedLevels, p.Tokens)
		}
	})
}

func ExampleCut() {
	p := prefix.Cut("taller-sur", "quill", []prefix.Message{
		{Role: "system", Content: strings.Repeat("shared ", 4000)},
		{Role: "user", Content: "How many brackets?"},
	}, prefix.DefaultPieceTokens)
	fmt.Println(len(p.Levels), p.SharedLevels, p.SharedTokens())
	// Output: 1 1 4000
}
