package strict

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference renders the keys of a settings struct as a Markdown table: key, type, and the meaning from the field's doc tag.
func Reference(settings any) string {
	var b strings.Builder
	b.WriteString("| key | type | meaning |\n|---|---|---|\n")
	describe(&b, "", reflect.Indirect(reflect.ValueOf(settings)).Type())
	return b.String()
}

func describe(b *strings.Builder, prefix string, t reflect.Type) {
	for field := range t.Fields() {
		key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if key == "" {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			describe(b, prefix+key+".", field.Type)
			continue
		}
		fmt.Fprintf(b, "| `%s%s` | %s | %s |\n", prefix, key, typeName(field.Type), field.Tag.Get("doc"))
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice, reflect.Array:
		return "list of " + typeName(t.Elem()) + "s"
	case reflect.Map:
		return "table of " + typeName(t.Elem()) + "s"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	case reflect.Float32, reflect.Float64:
		return "number"
	}
	return "integer"
}
