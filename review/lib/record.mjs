/** Writes the record of a run, line by line, beside the script. */
import { writeFileSync } from 'node:fs'

export class Record {
  #lines = []
  #path
  #startedMs = performance.now()

  constructor(path) {
    this.#path = path
  }

  line(text, atMs = performance.now()) {
    this.#lines.push([atMs, text])
  }

  print(text) {
    this.line(text)
    console.log(text)
  }

  save() {
    const at = (ms) => ((ms - this.#startedMs) / 1000).toFixed(3).padStart(8)
    const sorted = this.#lines
      .map((line, index) => [...line, index])
      .sort((a, b) => a[0] - b[0] || a[2] - b[2])
    writeFileSync(this.#path, sorted.map(([ms, text]) => `${at(ms)}  ${text}\n`).join(''))
  }
}
