package citroncli_test

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"citrondeck.dev/citrondeck/citroncli"
	"github.com/matryer/is"
)

// caseFiles are the files that hold regression cases: a line "$ citrondeck ARGS"
// followed by the expected output, up to an empty line or the end of a code block. The
// console blocks of the operator documentation are cases too, so its examples always
// match the program. Set UPDATE_CASES=1 to replace the expected output by the current
// output.
var caseFiles = []string{"citroncli/testdata/cases.txt", "docs/OPERATORS.md", "docs/OPERATIONS.md"}

var caseText = regexp.MustCompile(`(?m)^\$ citrondeck (.*)\n((?:.+\n)*?)(\n|` + "```" + `\n)`)

// TestCases runs each case and compares the output and the exit code with the file.
func TestCases(t *testing.T) {
	t.Chdir("..")
	for _, file := range caseFiles {
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		found := caseText.FindAllStringSubmatch(string(text), -1)
		is.New(t).True(len(found) > 0)
		for _, c := range found {
			t.Run(file+"/"+c[1], func(t *testing.T) {
				got := run(c[1])
				if os.Getenv("UPDATE_CASES") != "" {
					text = []byte(strings.Replace(string(text), c[0], "$ citrondeck "+c[1]+"\n"+got+c[3], 1))
					is.New(t).NoErr(os.WriteFile(file, text, 0o644))
					return
				}
				is.New(t).Equal(got, c[2])
			})
		}
	}
}

var clockTime = regexp.MustCompile(`time=\S+ `)

// run returns the output of a command without log times, trailing blanks and
// empty lines. A non-zero exit code, which must be below 10, is appended as a line.
func run(args string) string {
	var out bytes.Buffer
	code := citroncli.Main(strings.Fields(args), &out, &out)
	var lines []string
	for l := range strings.Lines(clockTime.ReplaceAllString(out.String(), "")) {
		if l = strings.TrimRight(l, " \n"); l != "" {
			lines = append(lines, l)
		}
	}
	if code != 0 {
		lines = append(lines, "exit code "+string(rune('0'+code)))
	}
	return strings.Join(lines, "\n") + "\n"
}
