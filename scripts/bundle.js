// Bundles the program for the users' platform into one file, which starts faster than separate modules.
import { readdirSync } from 'node:fs'
import { build } from 'esbuild'

const alias = Object.fromEntries(readdirSync('packages').map(name => [`@cornelgauge/${name}`, `./packages/${name}/src/index.ts`]))

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/cornelgauge.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  alias,
  external: ['cbor-extract']
})
