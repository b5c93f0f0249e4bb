package protocol

import (
	"cmp"
	encodingjson "encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// unmarshalOptions decode JSON as package encoding/json does, except that members match the names of
// fields exactly: a member whose name differs in case is unknown, and ignored.
var unmarshalOptions = json.JoinOptions(
	jsonv1.DefaultOptionsV1(),
	json.MatchCaseInsensitiveNames(false),
	jsonv1.MergeWithLegacySemantics(false),
)

// integerOptions also accept integers that are written with a fraction or an exponent, such as 16.0.
var integerOptions = json.JoinOptions(unmarshalOptions, json.WithUnmarshalers(json.JoinUnmarshalers(
	json.UnmarshalFromFunc(decodeInteger[uint64]),
	json.UnmarshalFromFunc(decodeInteger[AttemptNumber]),
	json.UnmarshalFromFunc(decodeInteger[Incarnation]),
	json.UnmarshalFromFunc(decodeInteger[Sequence]),
	json.UnmarshalFromFunc(decodeInteger[Revision]),
	json.UnmarshalFromFunc(decodeInteger[Term]),
	json.UnmarshalFromFunc(decodeInteger[LeaseID]),
	json.UnmarshalFromFunc(decodeInteger[int]),
	json.UnmarshalFromFunc(decodeInteger[int64]),
)))

// Unmarshal decodes JSON that another process has written. Unknown members are ignored, and integers
// may be written like any other number. Errors are those of package encoding/json, because senders of
// invalid bodies receive their texts.
func Unmarshal(body []byte, value any) error {
	err := json.Unmarshal(body, value, unmarshalOptions)
	if err == nil {
		return nil
	}
	if json.Unmarshal(body, value, integerOptions) == nil {
		return nil
	}
	return cmp.Or(encodingjson.Unmarshal(body, value), err)
}

// errNotInteger is the error about a number that is not an integer of the wanted type.
var errNotInteger = errors.New("number is not an integer or out of range")

// decodeInteger decodes a number in any spelling whose value is an integer that is not negative.
// Anything else is left to the default decoder.
func decodeInteger[N ~uint64 | ~int64 | ~int](decoder *jsontext.Decoder, value *N) error {
	if decoder.PeekKind() != '0' {
		return errors.ErrUnsupported
	}
	number, err := decoder.ReadValue()
	if err != nil {
		return err
	}
	digits, valid := plainInteger(string(number))
	if !valid {
		return errNotInteger
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	*value = N(n)
	if err != nil || *value < 0 {
		return errNotInteger
	}
	return nil
}

// maxIntegerDigits is the number of digits of the largest integer, 2^64 - 1.
const maxIntegerDigits = 20

// plainInteger returns the digits of a JSON number without fraction and exponent. The result valid is
// false if its value is negative, not an integer, or has more than maxIntegerDigits digits.
func plainInteger(number string) (digits string, valid bool) {
	unsigned, negative := strings.CutPrefix(strings.ToLower(number), "-")
	mantissa, exponentText, hasExponent := strings.Cut(unsigned, "e")
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits = strings.TrimLeft(whole+fraction, "0")
	significant := strings.TrimRight(digits, "0")
	if significant == "" {
		return "0", true
	}
	exponent := 0
	if hasExponent {
		var err error
		if exponent, err = strconv.Atoi(exponentText); err != nil {
			return "", false
		}
	}
	zeros := exponent - len(fraction) + len(digits) - len(significant)
	if negative || zeros < 0 || zeros > maxIntegerDigits || len(significant)+zeros > maxIntegerDigits {
		return "", false
	}
	return significant + strings.Repeat("0", zeros), true
}
