package strictjson

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// text decodes a value whose type implements encoding.TextUnmarshaler, such as a
// duration.
func (d *decoder) text(t token, v reflect.Value, r *rules) {
	if t.kind != stringToken {
		d.wrongType(t, expectedText(v))
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText(t.text); err != nil {
		d.faultf("%v", err)
		return
	}
	if v.Kind() != reflect.Int64 {
		return
	}
	got := time.Duration(v.Int())
	if r.minDuration != nil && got < *r.minDuration {
		d.faultf("is %v, must be at least %v", got, *r.minDuration)
	}
	if r.maxDuration != nil && got > *r.maxDuration {
		d.faultf("is %v, must be at most %v", got, *r.maxDuration)
	}
}

func expectedText(v reflect.Value) string {
	if v.Kind() == reflect.Int64 {
		return `a text with a unit, such as "250ms"`
	}
	return "a text"
}

func (d *decoder) scalar(t token, v reflect.Value, r *rules) {
	switch {
	case v.Kind() == reflect.String && t.kind == stringToken:
		s := string(t.text)
		v.SetString(s)
		d.checkText(s, r)
	case v.Kind() == reflect.String:
		d.wrongType(t, "a text")
	case v.Kind() == reflect.Bool && (t.kind == trueToken || t.kind == falseToken):
		v.SetBool(t.kind == trueToken)
	case v.Kind() == reflect.Bool:
		d.wrongType(t, "true or false")
	case t.kind == numberToken:
		d.number(string(t.text), v, r)
	default:
		d.wrongType(t, expectedNumber(v))
	}
}

func (d *decoder) number(text string, v reflect.Value, r *rules) {
	if err := setNumber(v, text); err != nil {
		want := expectedNumber(v)
		if errors.Is(err, strconv.ErrRange) {
			want += numberRange(v)
		}
		d.faultf("is %s, must be %s", truncate(text), want)
		return
	}
	d.checkNumber(text, asFloat(v), r)
}

// asFloat converts a number for the comparison with its bounds. The bounds are far
// below the range in which a float64 can't represent every integer.
func asFloat(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	default:
		return v.Float()
	}
}

func expectedNumber(v reflect.Value) string {
	switch {
	case v.CanFloat():
		return "a number"
	case v.CanUint():
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}

// numberRange returns the text for the range of a number's type.
func numberRange(v reflect.Value) string {
	bits := v.Type().Bits()
	switch {
	case v.CanInt():
		maxInt := int64(1)<<(bits-1) - 1
		return fmt.Sprintf(" from %d to %d", -maxInt-1, maxInt)
	case v.CanUint():
		return fmt.Sprintf(", at most %d", ^uint64(0)>>(64-bits))
	default:
		return fmt.Sprintf(" that %d bits can hold", bits)
	}
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

func (d *decoder) checkText(s string, r *rules) {
	switch {
	case r.enum != nil && !slices.Contains(r.enum, s):
		d.faultf("is %q, must be one of %s", truncate(s), strings.Join(r.enum, ", "))
	case r.format != "" && !formats[r.format].Check(s):
		d.faultf("is %q, %s", truncate(s), formats[r.format].Requirement)
	case r.maxLength > 0 && len(s) > r.maxLength:
		d.faultf("has %d bytes, at most %d are allowed", len(s), r.maxLength)
	}
}

func (d *decoder) checkNumber(text string, f float64, r *rules) {
	switch {
	case r.minimum != nil && f < *r.minimum:
		d.faultf("is %s, must be at least %v", truncate(text), *r.minimum)
	case r.exclusiveMinimum != nil && f <= *r.exclusiveMinimum:
		d.faultf("is %s, must be above %v", truncate(text), *r.exclusiveMinimum)
	case r.maximum != nil && f > *r.maximum:
		d.faultf("is %s, must be at most %v", truncate(text), *r.maximum)
	}
}

// setDefault sets v to the default value in text, which is that of its tag.
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

// maxQuotedBytes limits how many bytes of a value are quoted in a fault.
const maxQuotedBytes = 64

// truncate limits s to maxQuotedBytes, for quoting in a fault.
func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
