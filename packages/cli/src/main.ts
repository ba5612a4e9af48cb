#!/usr/bin/env node
import { run } from './run.js'

const write = (stream: NodeJS.WriteStream) => (text: string) => {
  stream.write(`${text}\n`)
}

process.exitCode = await run(process.argv.slice(2), {
  env: process.env,
  out: write(process.stdout),
  err: write(process.stderr),
})
