/** Formats tables and JSON for standard output. */
import { toJson, type DescMessage, type MessageShape } from '@bufbuild/protobuf'

/** The environment variables that the tool reads, and the streams that it writes to. */
export interface CliEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>
  readonly out: (text: string) => void
  readonly err: (text: string) => void
}

/** Formats a table whose columns are as wide as their widest cell; without rows, `(none)` follows the header. */
export const formatTable = (header: readonly string[], rows: readonly (readonly string[])[]): string => {
  const all = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)))
  const lines = all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  )
  return [...lines, ...(rows.length === 0 ? ['(none)'] : [])].join('\n')
}

/** Formats a message as JSON. Fields with default values are written too, so that scripts find every field. */
export const formatMessage = <D extends DescMessage>(schema: D, message: MessageShape<D>): string =>
  JSON.stringify(toJson(schema, message, { alwaysEmitImplicit: true }), undefined, 2)
