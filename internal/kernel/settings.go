package kernel

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Section is the settings section of a part: a pointer to a struct with toml tags. The values that it has before the file
// is read are the defaults.
type Section interface {
	// Check validates the section and reports each invalid value to c.
	Check(c *Checker)
}

// Problem is an error at a line of a settings file.
type Problem struct {
	File string
	Line int
	Key  string
	// Text states the value in the file and the values that are allowed.
	Text string
}

// String formats the problem as file:line: key: text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Checker collects the problems that the validation of a section finds.
type Checker struct {
	section  string
	settings *settingsFile
}

// Require reports a problem with a key of the section unless ok is true. The text want describes the allowed values.
func (c *Checker) Require(ok bool, key, want string) {
	if ok {
		return
	}
	qualifiedKey := c.section + "." + key
	got := "is missing"
	if v, found := c.settings.values[qualifiedKey]; found {
		got = fmt.Sprintf("got %v", v)
	}
	c.settings.addProblem(qualifiedKey, fmt.Sprintf("%s, want %s", got, want))
}

// settingsFile is a parsed settings file: the line and the value of each key, and the problems found so far.
type settingsFile struct {
	name     string
	lines    map[string]int
	values   map[string]any
	problems []Problem
}

func (f *settingsFile) addProblem(key, text string) {
	f.problems = append(f.problems, Problem{File: f.name, Line: f.line(key), Key: key, Text: text})
}

// line returns the line of the key. For a key that is not in the file it is the line of its section, or else 1.
func (f *settingsFile) line(key string) int {
	for {
		if n, ok := f.lines[key]; ok {
			return n
		}
		i := strings.LastIndex(key, ".")
		if i < 0 {
			return 1
		}
		key = key[:i]
	}
}

// LoadSettings reads a TOML file into sections and returns all its problems, sorted by line.
func LoadSettings(name string, sections map[string]Section) []Problem {
	data, err := os.ReadFile(name)
	if err != nil {
		return []Problem{{File: name, Line: 1, Key: "file", Text: err.Error()}}
	}
	return parseSettings(name, data, sections)
}

func parseSettings(name string, data []byte, sections map[string]Section) []Problem {
	f := &settingsFile{name: name, lines: indexLines(data), values: map[string]any{}}
	var root map[string]any
	if err := toml.Unmarshal(data, &root); err != nil {
		return []Problem{syntaxProblem(name, err)}
	}
	for s, v := range root {
		table, ok := v.(map[string]any)
		target, known := sections[s]
		switch {
		case !known:
			f.addProblem(s, "unknown section, want one of "+strings.Join(sectionNames(sections), ", "))
		case !ok:
			f.addProblem(s, "want a section ["+s+"]")
		default:
			f.fillSection(s, table, target)
		}
	}
	hasProblems := len(f.problems) > 0
	for _, s := range sectionNames(sections) {
		if !hasProblems {
			sections[s].Check(&Checker{section: s, settings: f})
		}
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return f.problems
}

func sectionNames(sections map[string]Section) []string {
	var l []string
	for s := range sections {
		l = append(l, s)
	}
	slices.Sort(l)
	return l
}

func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Line: 1, Key: "syntax", Text: err.Error()}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		p.Line, _ = d.Position()
	}
	return p
}

// indexLines returns the line number of every key and section of a TOML file.
func indexLines(data []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(data)
	section := ""
	for p.NextExpression() {
		e := p.Expression()
		var segments []string
		offset := uint32(0)
		for k := e.Key(); k.Next(); {
			segments = append(segments, string(k.Node().Data))
			offset = k.Node().Raw.Offset
		}
		key := strings.Join(segments, ".")
		line := 1 + strings.Count(string(data[:offset]), "\n")
		if e.Kind != unstable.KeyValue {
			section = key
		} else if section != "" {
			key = section + "." + key
		}
		lines[key] = line
	}
	return lines
}

// fillSection copies a TOML table into the section's struct and reports unknown keys and values of the wrong type.
func (f *settingsFile) fillSection(section string, table map[string]any, target Section) {
	v := reflect.ValueOf(target).Elem()
	fields := map[string]reflect.Value{}
	var known []string
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("toml")
		fields[tag] = v.Field(i)
		known = append(known, tag)
	}
	for key, value := range table {
		qualifiedKey := section + "." + key
		f.values[qualifiedKey] = value
		field, ok := fields[key]
		if !ok {
			f.addProblem(qualifiedKey, "unknown key, want one of "+strings.Join(known, ", "))
			continue
		}
		if want := assignField(field, value); want != "" {
			f.addProblem(qualifiedKey, fmt.Sprintf("got %v, want %s", value, want))
		}
	}
}

// assignField sets a field to a value. If the type doesn't match it returns a description of the allowed values instead.
func assignField(field reflect.Value, value any) string {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		s, _ := value.(string)
		d, err := time.ParseDuration(s)
		if err != nil {
			return `a time such as "500ms" or "10s"`
		}
		field.SetInt(int64(d))
		return ""
	}
	switch field.Kind() {
	case reflect.String:
		return setScalar(field, value, reflect.TypeFor[string](), "a text in quotes")
	case reflect.Bool:
		return setScalar(field, value, reflect.TypeFor[bool](), "true or false")
	case reflect.Int, reflect.Int64:
		return setScalar(field, value, reflect.TypeFor[int64](), "a whole number")
	case reflect.Float64:
		if n, ok := value.(int64); ok {
			value = float64(n)
		}
		return setScalar(field, value, reflect.TypeFor[float64](), "a number")
	case reflect.Slice:
		return setList(field, value)
	case reflect.Map:
		return setTable(field, value)
	default:
		return "a value that this version can read; the field's type is not supported"
	}
}

func setScalar(field reflect.Value, value any, want reflect.Type, text string) string {
	v := reflect.ValueOf(value)
	if !v.IsValid() || v.Type() != want {
		return text
	}
	field.Set(v.Convert(field.Type()))
	return ""
}

func setTable(field reflect.Value, value any) string {
	const want = `a table of texts such as { a = "x", b = "y" }`
	t, ok := value.(map[string]any)
	if !ok {
		return want
	}
	out := reflect.MakeMapWithSize(field.Type(), len(t))
	for k, e := range t {
		v := reflect.New(field.Type().Elem()).Elem()
		if text := setScalar(v, e, reflect.TypeFor[string](), want); text != "" {
			return text
		}
		out.SetMapIndex(reflect.ValueOf(k), v)
	}
	field.Set(out)
	return ""
}

func setList(field reflect.Value, value any) string {
	const want = `a list of texts such as ["a", "b"]`
	l, ok := value.([]any)
	if !ok {
		return want
	}
	out := reflect.MakeSlice(field.Type(), len(l), len(l))
	for i, e := range l {
		if text := setScalar(out.Index(i), e, reflect.TypeFor[string](), want); text != "" {
			return text
		}
	}
	field.Set(out)
	return ""
}
