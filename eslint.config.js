import neostandard from 'neostandard'

/** Ambient time, randomness and sockets are reached through `seams/` only. */
const SEAM_MESSAGE = 'Use the seam injected by the caller (see packages/pomelofold/src/seams).'

const seamRules = {
  'no-restricted-globals': ['error',
    ...['setTimeout', 'setInterval', 'setImmediate', 'fetch', 'performance'].map(name => ({ name, message: SEAM_MESSAGE }))],
  'no-restricted-properties': ['error',
    { object: 'Date', property: 'now', message: SEAM_MESSAGE },
    { object: 'Math', property: 'random', message: SEAM_MESSAGE }],
  'no-restricted-imports': ['error', {
    paths: ['node:net', 'node:tls', 'node:http', 'node:https', 'node:dgram', 'node:timers', 'node:timers/promises', 'node:child_process', 'node:cluster', 'undici']
      .map(name => ({ name, message: SEAM_MESSAGE }))
  }]
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'max-lines': ['error', { max: 500, skipComments: true, skipBlankLines: true }]
    }
  },
  {
    files: ['packages/pomelofold/src/**/*.ts'],
    ignores: ['packages/pomelofold/src/edge/**', 'packages/pomelofold/src/client/**'],
    rules: seamRules
  }
]
