/**
 * Import boundaries. Each folder of the library lists the folders it may import from;
 * `npm run deps:check` fails on any other import.
 */
const LIB = 'packages/pomelofold/src'

/** Folder -> folders of the library it may import from, besides itself. */
const ALLOWED = {
  utils: [],
  protocol: ['utils'],
  seams: ['utils', 'protocol'],
  settings: ['utils', 'protocol'],
  commits: ['utils', 'protocol', 'seams'],
  crashes: ['utils', 'protocol'],
  teams: ['utils', 'protocol', 'seams'],
  edge: ['utils', 'protocol', 'seams'],
  client: ['utils', 'protocol', 'settings'],
  claims: ['utils', 'protocol', 'seams'],
  peers: ['utils', 'protocol', 'seams'],
  config: ['utils', 'protocol', 'seams', 'peers'],
  requests: ['utils', 'protocol', 'seams'],
  outcomes: ['utils', 'protocol', 'seams'],
  tasks: ['utils', 'protocol', 'seams', 'commits', 'crashes'],
  workflows: ['utils', 'protocol', 'seams', 'commits', 'crashes', 'teams'],
  reports: ['utils', 'protocol', 'seams'],
  server: ['utils', 'protocol', 'seams', 'settings', 'commits', 'teams', 'edge', 'claims', 'peers', 'config', 'requests', 'outcomes', 'tasks', 'workflows', 'reports']
}

const folderRules = Object.entries(ALLOWED).map(([folder, allowed]) => ({
  name: `folder-${folder}`,
  severity: 'error',
  from: { path: `^${LIB}/${folder}/` },
  to: { path: `^${LIB}/`, pathNot: [folder, ...allowed].map(name => `^${LIB}/${name}/`) }
}))

module.exports = {
  forbidden: [
    ...folderRules,
    { name: 'no-circular', severity: 'error', from: {}, to: { circular: true } },
    {
      name: 'library-stands-alone',
      severity: 'error',
      from: { path: '^packages/pomelofold/' },
      to: { path: '^(packages/(daemon|cli|standins)|platform|tests|utils)/' }
    },
    {
      name: 'shipped-without-stand-ins',
      severity: 'error',
      from: { path: '^(packages/(daemon|cli)|platform)/' },
      to: { path: '^(packages/standins|tests|utils)/' }
    }
  ],
  options: {
    doNotFollow: { path: 'node_modules' },
    exclude: { path: '(^|/)dist/' },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['import', 'require', 'node', 'default', 'types'], extensions: ['.ts', '.js', '.cjs', '.mjs', '.json'] }
  }
}
