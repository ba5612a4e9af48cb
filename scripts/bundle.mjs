// Bundles the gateway daemon into one file, without code that it does not use: a restarted daemon starts sooner when it
// reads a single, smaller file.
import { build } from 'esbuild'

await build({
  entryPoints: ['packages/gateway/src/main.ts'],
  outfile: 'target/pimentotallyd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  treeShaking: true,
  sourcemap: false,
  alias: Object.fromEntries(
    ['core', 'http', 'routing', 'assignment', 'storage']
      .map((name) => [`@pimentotally/${name}`, `./packages/${name}/src/index.ts`])
      .concat([['@pimentotally/platform', './platform/src/index.ts']]),
  ),
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
})
