/** The operators' command-line tool. */
export * from './exit-code.js'
export * from './output.js'
export { run } from './run.js'
