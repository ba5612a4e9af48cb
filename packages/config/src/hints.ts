/** Messages for unknown fields that hint at a wrong unit or a misspelling. */

/** Name endings that state the unit of a field, with the words for messages. */
const units: Readonly<Record<string, string>> = {
  Ms: 'milliseconds',
  Bytes: 'bytes',
}

/** Endings by which a field may state a unit, also those that no field uses. */
const unitSuffix =
  /(?:_?(?:ms|millis|milliseconds|s|sec|secs|seconds|m|min|minutes|bytes|kb|kib|mb|mib|percent|pct))$/i

/** ` of milliseconds` for a field whose name ends in `Ms`, and so on. */
export const unitPhrase = (field: string): string => {
  const unit = Object.entries(units).find(([suffix]) => field.endsWith(suffix))
  return unit === undefined ? '' : ` of ${unit[1]}`
}

/** True for texts such as `10s`, `250 ms`, `4KiB` or `2%`. */
export const isQuantity = (text: string): boolean => /^\s*\d+(?:\.\d+)?\s*(?:%|[a-zA-Z]{1,8})?\s*$/.test(text)

/** The name without separators and in lower case, for comparisons. */
const normalize = (field: string): string => field.replace(/[_-]/g, '').toLowerCase()
const hasUnit = (field: string): boolean => Object.keys(units).some((suffix) => field.endsWith(suffix))

/** Edit distance (Levenshtein) of two texts. */
const editDistance = (a: string, b: string): number => {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row]
    for (let column = 1; column <= b.length; column += 1) {
      const replace = (previous[column - 1] ?? 0) + (a[row - 1] === b[column - 1] ? 0 : 1)
      current.push(Math.min((previous[column] ?? 0) + 1, (current[column - 1] ?? 0) + 1, replace))
    }
    previous = current
  }
  return previous[b.length] ?? 0
}

/** The known field with a unit that `field` probably means: it lacks the unit or has another one. */
const unitSibling = (field: string, known: readonly string[]): string | undefined => {
  const stems = [normalize(field), normalize(field.replace(unitSuffix, ''))].filter(
    (stem) => stem.length >= 4,
  )
  const withUnit = known.filter(hasUnit)
  const stemOf = (name: string): string => normalize(name.replace(/(?:Ms|Bytes)$/, ''))
  return (
    withUnit.find((name) => stems.includes(stemOf(name))) ??
    withUnit.find((name) => stems.some((stem) => stemOf(name).endsWith(stem)))
  )
}

/** Code and message of the issue for a field that is not among the known ones. */
export const describeUnknownField = (
  field: string,
  known: readonly string[],
): { readonly code: 'unknown_field' | 'wrong_unit'; readonly message: string } => {
  const sibling = unitSibling(field, known)
  if (sibling !== undefined && normalize(sibling) !== normalize(field)) {
    return { code: 'wrong_unit', message: `unknown field; use ${sibling}, a number${unitPhrase(sibling)}` }
  }
  const similar = known.find(
    (name) =>
      Math.abs(name.length - field.length) <= 4 && editDistance(normalize(name), normalize(field)) <= 2,
  )
  const hint = similar === undefined ? `known fields are ${known.join(', ')}` : `did you mean ${similar}?`
  return { code: 'unknown_field', message: `unknown field; ${hint}` }
}
