/** Parses TOML and finds the line of each value, so that issues can name it. */
import { TomlError, parse } from 'smol-toml'
import type { Issue } from '@pimentotally/core'
import { Result } from 'true-myth'

export type Path = readonly (string | number)[]

export interface TomlDocument {
  readonly root: Readonly<Record<string, unknown>>
  /** The 1-based line of the value, or of the nearest enclosing value whose line is known. */
  lineOf(path: Path): number | undefined
}

const segment = `(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')`
const dotted = `${segment}(?:\\s*\\.\\s*${segment})*`
const headerPattern = new RegExp(`^\\s*(\\[\\[?)\\s*(${dotted})\\s*\\]`)
const keyPattern = new RegExp(`^\\s*(${dotted})\\s*=`)
const segments = (text: string): string[] =>
  (text.match(new RegExp(segment, 'g')) ?? []).map((part) => part.replace(/^["']|["']$/g, ''))

/** The 1-based lines of table headers and of keys at the start of a line, by path. */
const scanLines = (text: string): Map<string, number> => {
  const lines = new Map<string, number>()
  /** Number of elements so far of each array of tables, by path. */
  const lengths = new Map<string, number>()
  let table: Path = []
  let inString = false
  const recordLine = (path: Path, line: number): void => {
    if (!lines.has(path.join('\0'))) lines.set(path.join('\0'), line)
  }
  /** The path of a table: after the name of an array of tables comes the index of its last element so far. */
  const resolve = (names: readonly string[]): Path =>
    names.reduce<Path>((path, name) => {
      const next = [...path, name]
      const length = lengths.get(next.join('\0'))
      return length === undefined ? next : [...next, length - 1]
    }, [])

  text.split('\n').forEach((line, index) => {
    const wasInString = inString
    if ((line.match(/"""|'''/g)?.length ?? 0) % 2 === 1) inString = !inString
    if (wasInString) return
    const header = headerPattern.exec(line)
    if (header !== null) {
      const names = segments(header[2] ?? '')
      if (header[1] === '[[') {
        const array = [...resolve(names.slice(0, -1)), names.at(-1) ?? '']
        const length = (lengths.get(array.join('\0')) ?? 0) + 1
        lengths.set(array.join('\0'), length)
        recordLine(array, index + 1)
        table = [...array, length - 1]
      } else table = resolve(names)
      recordLine(table, index + 1)
      return
    }
    const key = keyPattern.exec(line)
    if (key !== null) recordLine([...table, ...segments(key[1] ?? '')], index + 1)
  })
  return lines
}

/** Parses TOML; a syntax error becomes one issue with code `toml_syntax`. */
export const safeParseToml = (text: string, file?: string): Result<TomlDocument, readonly Issue[]> => {
  try {
    const root = parse(text, { unsafeKeyBehaviour: 'throw', maxDepth: 20 })
    // Computed only when needed, as only issues name lines.
    let lines: ReadonlyMap<string, number> | undefined
    const lineOf = (path: Path): number | undefined => {
      lines ??= scanLines(text)
      for (let length = path.length; length > 0; length -= 1) {
        const line = lines.get(path.slice(0, length).join('\0'))
        if (line !== undefined) return line
      }
      return undefined
    }
    return Result.ok({ root, lineOf })
  } catch (error) {
    if (!(error instanceof Error)) throw error
    // The library appends a code block to its message, which may quote a secret; only the first line is kept.
    const message = error.message.split('\n', 1)[0] ?? error.message
    const line = error instanceof TomlError ? error.line : undefined
    return Result.err([{ code: 'toml_syntax', path: [], message, file, line }])
  }
}
