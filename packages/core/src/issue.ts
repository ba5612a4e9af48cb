/** Issues found in a file or message; all are reported together, each with a code and a path. */

export interface Issue {
  /** Stable, machine-readable, in snake_case. */
  readonly code: string
  /** Path of the offending value, for example `['services', 0, 'slots']`. */
  readonly path: readonly (string | number)[]
  readonly message: string
  readonly file?: string
  /** 1-based line, where known. */
  readonly line?: number
}

export const Issue = {
  /** For example `deployment.toml:8: services.0.slots: is required [missing_field]`. */
  format: ({ file, line, path, code, message }: Issue): string => {
    const place = [file, line].filter((part) => part !== undefined).join(':')
    return `${place === '' ? '' : `${place}: `}${path.join('.')}: ${message} [${code}]`
  },
}
