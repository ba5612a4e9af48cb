/**
 * Typed reading of a parsed TOML file. Each issue is collected and a placeholder value returned, so that all
 * issues are reported in one pass. The values read must be used only when there are no issues.
 */
import type { Issue } from '@pimentotally/core'
import { Address } from './address.js'
import { describeUnknownField, isQuantity, unitPhrase } from './hints.js'
import type { Path, TomlDocument } from './toml.js'

/** Keeps the report of a file with very many issues readable and small. */
const maxIssues = 1000

export class IssueCollector {
  readonly issues: Issue[] = []
  readonly #document: TomlDocument
  readonly #file: string | undefined

  constructor(document: TomlDocument, file?: string) {
    this.#document = document
    this.#file = file
  }

  /** True when the last issue says that further ones are not listed. */
  get isFull(): boolean {
    return this.issues.length > maxIssues
  }

  /** Adds an issue; after the first `maxIssues`, a single `too_many_issues` stands for all further ones. */
  add(code: string, path: Path, message: string): void {
    if (this.isFull) return
    if (this.issues.length === maxIssues) {
      const rest = `only the first ${String(maxIssues)} issues are listed`
      this.issues.push({ code: 'too_many_issues', path: [], message: rest, file: this.#file })
      return
    }
    this.issues.push({ code, path, message, file: this.#file, line: this.#document.lineOf(path) })
  }
}

export interface NumberRule {
  readonly min: number
  readonly max: number
  /** Default value; absent for a required field. */
  readonly fallback?: number
}

export interface StringRule {
  /** Default value; absent for a required field. */
  readonly fallback?: string
  readonly pattern?: RegExp
  /** Description of valid values; completes the message "must be ...". */
  readonly expected?: string
  /** Code of the issue when the pattern does not match; `invalid_value` when absent. */
  readonly code?: string
  /** True to leave the value out of messages, which end up in logs. */
  readonly secret?: boolean
}

export interface AddressRule {
  /** True for addresses to listen on: these may be wildcards, or have port 0 for any free port. */
  readonly listener?: boolean
}

/** A value in quotes for a message, cut off after 80 characters. */
const quote = (value: string): string => `"${value.length <= 80 ? value : `${value.slice(0, 77)}...`}"`

const namePattern = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/
const isTable = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date)

const typeName = (value: unknown): string =>
  Array.isArray(value)
    ? 'a list'
    : value instanceof Date
      ? 'a date'
      : isTable(value)
        ? 'a table'
        : `a ${typeof value}`

/** Reads the fields of one table; `reportUnknownFields` reports the fields that were not read. */
export class TableReader {
  readonly path: Path
  readonly #collector: IssueCollector
  readonly #table: Readonly<Record<string, unknown>>
  readonly #known: string[] = []

  constructor(collector: IssueCollector, table: Readonly<Record<string, unknown>>, path: Path) {
    this.#collector = collector
    this.#table = table
    this.path = path
  }

  has(key: string): boolean {
    return Object.hasOwn(this.#table, key)
  }

  issue(code: string, key: string | undefined, message: string): void {
    this.#collector.add(code, key === undefined ? this.path : [...this.path, key], message)
  }

  string(key: string, rule: StringRule = {}): string {
    const value = this.#readField(key, 'string', rule.fallback)
    if (typeof value !== 'string') return rule.fallback ?? ''
    this.#checkString(key, value, rule)
    return value
  }

  /** Reads a lower-case DNS label: names become parts of row keys, header values and cell ids. */
  name(key: string): string {
    const name = this.string(key, {
      pattern: namePattern,
      code: 'invalid_name',
      expected: 'lower-case letters, digits and inner hyphens, at most 63',
    })
    // States and shards are looked up by name in plain objects, where a name such as `constructor` would find
    // an inherited property.
    if (name in Object.prototype) this.issue('invalid_name', key, `"${name}" is a reserved word`)
    return name
  }

  oneOf<T extends string>(key: string, allowed: readonly T[], fallback: T): T {
    const value = this.#readField(key, 'string', fallback)
    if (typeof value !== 'string') return fallback
    const found = allowed.find((candidate) => candidate === value)
    if (found === undefined) {
      this.issue('invalid_value', key, `must be one of ${allowed.join(', ')}, not ${quote(value)}`)
    }
    return found ?? fallback
  }

  boolean(key: string, fallback?: boolean): boolean {
    const value = this.#readField(key, 'boolean', fallback)
    return typeof value === 'boolean' ? value : (fallback ?? false)
  }

  integer(key: string, rule: NumberRule): number {
    return this.#number(key, rule, true)
  }

  number(key: string, rule: NumberRule): number {
    return this.#number(key, rule, false)
  }

  /** Reads an IP address with a port. */
  address(key: string, rule: AddressRule = {}): string {
    const value = this.#readField(key, 'string', undefined)
    if (typeof value !== 'string') return ''
    this.#checkAddress(key, value, rule)
    return value
  }

  addresses(key: string): readonly string[] {
    return this.strings(key, {
      fallback: [],
      check: (text, index) => {
        this.#checkAddress(key, text, {}, index)
      },
    })
  }

  strings(key: string, rule: StringsRule = {}): readonly string[] {
    const value = this.#readField(key, 'list', rule.fallback)
    if (!Array.isArray(value)) return rule.fallback ?? []
    const texts: string[] = []
    value.forEach((item: unknown, index) => {
      if (typeof item === 'string') {
        rule.check?.(item, index)
        texts.push(item)
      } else
        this.#collector.add(
          'wrong_type',
          [...this.path, key, index],
          `must be a string, not ${typeName(item)}`,
        )
    })
    return texts
  }

  /** Adds an issue about one element of a list. */
  elementIssue(code: string, key: string, index: number, message: string): void {
    this.#collector.add(code, [...this.path, key, index], message)
  }

  table(key: string): TableReader | undefined {
    this.#known.push(key)
    const value = this.#table[key]
    if (value === undefined) return undefined
    if (isTable(value)) return new TableReader(this.#collector, value, [...this.path, key])
    this.issue('wrong_type', key, `must be a table, not ${typeName(value)}`)
    return undefined
  }

  tables(key: string): readonly TableReader[] {
    this.#known.push(key)
    const value = this.#table[key]
    if (value === undefined) return []
    if (!Array.isArray(value)) {
      this.issue('wrong_type', key, `must be an array of tables ([[${key}]]), not ${typeName(value)}`)
      return []
    }
    return value.flatMap((item: unknown, index) => {
      const path = [...this.path, key, index]
      if (isTable(item)) return [new TableReader(this.#collector, item, path)]
      this.#collector.add('wrong_type', path, `must be a table, not ${typeName(item)}`)
      return []
    })
  }

  /** Reports the fields that were not read as unknown; must be called after reading all known fields. */
  reportUnknownFields(): void {
    for (const key of Object.keys(this.#table)) {
      if (this.#collector.isFull) return
      if (this.#known.includes(key)) continue
      const { code, message } = describeUnknownField(key, this.#known)
      this.issue(code, key.slice(0, 80), message)
    }
  }

  /** The value of a field; undefined when it is absent or, after reporting an issue, of another type. */
  #readField(key: string, type: 'string' | 'number' | 'boolean' | 'list', fallback: unknown): unknown {
    this.#known.push(key)
    const value = this.#table[key]
    if (value === undefined) {
      if (fallback === undefined) this.issue('missing_field', key, 'is required')
      return undefined
    }
    const matches = type === 'list' ? Array.isArray(value) : typeof value === type
    if (matches) return value
    if (type === 'number' && typeof value === 'string' && isQuantity(value)) {
      this.issue('wrong_unit', key, `must be a plain number${unitPhrase(key)}, not a string with a unit`)
    } else {
      const wanted = type === 'list' ? 'a list' : `a ${type}`
      this.issue(
        'wrong_type',
        key,
        `must be ${wanted}${type === 'number' ? unitPhrase(key) : ''}, not ${typeName(value)}`,
      )
    }
    return undefined
  }

  #number(key: string, { min, max, fallback }: NumberRule, integer: boolean): number {
    const value = this.#readField(key, 'number', fallback)
    if (typeof value !== 'number') return fallback ?? min
    if (integer && !Number.isInteger(value))
      this.issue('wrong_type', key, `must be a whole number${unitPhrase(key)}`)
    else if (!(value >= min && value <= max)) {
      const hint = max <= 1 && value > max ? '; it is a fraction, so 0.02 stands for 2%' : ''
      this.issue(
        'out_of_range',
        key,
        `must be from ${String(min)} to ${String(max)}${unitPhrase(key)}, not ${String(value)}${hint}`,
      )
    }
    return value
  }

  #checkString(key: string, value: string, { pattern, expected, code, secret }: StringRule): void {
    if (pattern === undefined || pattern.test(value)) return
    const shown = secret === true ? '' : `, not ${quote(value)}`
    this.issue(code ?? 'invalid_value', key, `must be ${expected ?? `like ${pattern.source}`}${shown}`)
  }

  #checkAddress(key: string, value: string, { listener = false }: AddressRule, index?: number): void {
    const address = Address.parse(value)
    const path = index === undefined ? [...this.path, key] : [...this.path, key, index]
    if (address === undefined) {
      this.#collector.add(
        'invalid_address',
        path,
        `must be an IP address with a port, like 127.0.0.1:9001, not ${quote(value)}`,
      )
    } else if (!listener && (address.port === 0 || Address.isWildcard(address))) {
      this.#collector.add(
        'invalid_address',
        path,
        `${quote(value)} is not the address of a single server: it has port 0 or is a wildcard`,
      )
    }
  }
}

interface StringsRule {
  /** Default value; absent for a required field. */
  readonly fallback?: readonly string[]
  /** Checks one element and adds its issues. */
  readonly check?: (text: string, index: number) => void
}
