package main

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
)

// fields are the values with which the platform fills the template of a process's settings.
type fields map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-zA-Z_.]+)\}\}(.*?)\{\{/[a-zA-Z_.]+\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([a-zA-Z_.0-9]+)\}\}`)
)

// fill fills a template as DEPLOY.md describes it, as far as the templates of springrail use that.
func (f fields) fill(template string) string {
	filled := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		return f.fillSection(f[m[1]], m[2])
	})
	return gapPattern.ReplaceAllStringFunc(filled, func(s string) string {
		return f.lookUp(gapPattern.FindStringSubmatch(s)[1])
	})
}

// fillSection repeats a section's text for each entry of a list or table.
func (f fields) fillSection(entries any, text string) string {
	var b strings.Builder
	entry := func(key, value string, last bool) {
		comma := ","
		if last {
			comma = ""
		}
		b.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", value, "{{,}}", comma).Replace(text))
	}
	switch l := entries.(type) {
	case []string:
		for i, v := range l {
			entry(fmt.Sprint(i), v, i == len(l)-1)
		}
	case map[string]string:
		keys := slices.Sorted(maps.Keys(l))
		for i, k := range keys {
			entry(k, l[k], i == len(keys)-1)
		}
	}
	return b.String()
}

// lookUp returns the value of a gap, whose name may have one dot; a missing value gives nothing.
func (f fields) lookUp(name string) string {
	first, rest, nested := strings.Cut(name, ".")
	value := f[first]
	switch v := value.(type) {
	case fields:
		value = v[rest]
	case []int:
		var n int
		if _, err := fmt.Sscan(rest, &n); !nested || err != nil || n >= len(v) {
			return ""
		}
		value = v[n]
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// writeSettings fills a template of the deploy folder and writes the result.
func writeSettings(template, path string, f fields) error {
	raw, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(f.fill(string(raw))), 0o600) //nolint:gosec // a file in the temporary folder of the case
}
