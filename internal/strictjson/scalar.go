package strictjson

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// text reads a value whose type reads its own text, such as a duration.
func (d *decoder) text(path string, t json.Token, v reflect.Value, r rules) {
	s, ok := t.(string)
	if !ok {
		d.wrongType(path, t, textWanted(v))
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s)); err != nil {
		d.report.add(path, "%v", err)
		return
	}
	if v.Kind() != reflect.Int64 {
		return
	}
	got := time.Duration(v.Int())
	if r.minDuration != nil && got < *r.minDuration {
		d.report.add(path, "is %v, must be at least %v", got, *r.minDuration)
	}
	if r.maxDuration != nil && got > *r.maxDuration {
		d.report.add(path, "is %v, must be at most %v", got, *r.maxDuration)
	}
}

func textWanted(v reflect.Value) string {
	if v.Kind() == reflect.Int64 {
		return `a text with a unit, such as "250ms"`
	}
	return "a text"
}

func (d *decoder) scalar(path string, t json.Token, v reflect.Value, r rules) {
	switch v.Kind() {
	case reflect.String:
		s, ok := t.(string)
		if !ok {
			d.wrongType(path, t, "a text")
			return
		}
		v.SetString(s)
		d.checkText(path, s, r)
	case reflect.Bool:
		b, ok := t.(bool)
		if !ok {
			d.wrongType(path, t, "true or false")
			return
		}
		v.SetBool(b)
	default:
		n, ok := t.(json.Number)
		if !ok {
			d.wrongType(path, t, numberWanted(v))
			return
		}
		if err := setNumber(v, n.String()); err != nil {
			d.report.add(path, "is %s, must be %s", shorten(n.String()), numberWanted(v))
			return
		}
		d.checkNumber(path, n, r)
	}
}

func numberWanted(v reflect.Value) string {
	if v.CanFloat() {
		return "a number"
	}
	return "a whole number"
}

func setNumber(v reflect.Value, text string) error {
	switch {
	case v.CanFloat():
		f, err := strconv.ParseFloat(text, v.Type().Bits())
		if err != nil {
			return err
		}
		v.SetFloat(f)
	case v.CanInt():
		i, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			return err
		}
		v.SetInt(i)
	case v.CanUint():
		u, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			return err
		}
		v.SetUint(u)
	default:
		panic(fmt.Sprintf("strictjson: fields of type %s are not supported", v.Type()))
	}
	return nil
}

func (d *decoder) checkText(path, s string, r rules) {
	switch {
	case r.enum != nil && !slices.Contains(r.enum, s):
		d.report.add(path, "is %q, must be one of %s", shorten(s), strings.Join(r.enum, ", "))
	case r.format != "" && !formats[r.format].Check(s):
		d.report.add(path, "is %q, %s", shorten(s), formats[r.format].Want)
	case r.maxLength > 0 && len(s) > r.maxLength:
		d.report.add(path, "has %d bytes, at most %d are allowed", len(s), r.maxLength)
	}
}

func (d *decoder) checkNumber(path string, n json.Number, r rules) {
	f, err := n.Float64()
	switch {
	case err != nil:
		d.report.add(path, "is %s, which is out of range", shorten(n.String()))
	case r.minimum != nil && f < *r.minimum:
		d.report.add(path, "is %s, must be at least %v", shorten(n.String()), *r.minimum)
	case r.above != nil && f <= *r.above:
		d.report.add(path, "is %s, must be above %v", shorten(n.String()), *r.above)
	case r.maximum != nil && f > *r.maximum:
		d.report.add(path, "is %s, must be at most %v", shorten(n.String()), *r.maximum)
	}
}

// setDefault sets v to the text of its tag.
func setDefault(v reflect.Value, text string) {
	var err error
	switch {
	case v.Addr().Type().Implements(textType):
		err = v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	case v.Kind() == reflect.String:
		v.SetString(text)
	case v.Kind() == reflect.Bool:
		var b bool
		b, err = strconv.ParseBool(text)
		v.SetBool(b)
	default:
		err = setNumber(v, text)
	}
	if err != nil {
		panic(fmt.Sprintf("strictjson: default %q of a %s: %v", text, v.Type(), err))
	}
}

// maxQuoted is how many bytes of a value a fault quotes.
const maxQuoted = 64

// shorten keeps a quoted value from filling the report.
func shorten(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
}
