/**
 * Builds the deployed program under `target/`: the daemon in one file, V8's code cache of it, and the entry that loads
 * both. Usage, in the repository's root: `node deploy/bundle/build.mjs`
 */

import { execFileSync } from 'node:child_process'
import { copyFileSync } from 'node:fs'
import { build } from 'esbuild'

/** Options of `node` in `deploy/system.toml`. V8 rejects a cache that was written with other options. */
const NODE_OPTIONS = ['--max-old-space-size=158']

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/daemon.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['cbor-extract'],
  alias: {
    pomelofold: './packages/pomelofold/src',
    undici: './deploy/bundle/undici.cjs',
    'prom-client': './deploy/bundle/promClient.cjs',
    http2: './deploy/bundle/noHttp2.cjs',
    'node:http2': './deploy/bundle/noHttp2.cjs'
  },
  tsconfigRaw: {},
  minifyWhitespace: true,
  // The entry runs the file as a script and calls the function, as Node.js does with a module.
  banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
  footer: { js: '})' },
  logLevel: 'warning'
})
copyFileSync('deploy/bundle/start.cjs', 'target/pomelofold.cjs')
// Without settings the daemon loads all of its modules and exits.
const env = { ...process.env, POMELOFOLD_WRITE_CODE_CACHE: '1' }
delete env.POMELOFOLD_CONFIG
try {
  execFileSync(process.execPath, [...NODE_OPTIONS, 'target/pomelofold.cjs'], { env, stdio: 'pipe' })
} catch (err) {
  // The exit code says that there are no settings.
  if (!String(err.stderr).includes('event=daemon.failed')) throw err
}
