/**
 * Entry of the deployed program: runs the bundled daemon with V8's code cache, so that a restarted process need not
 * compile it again. With the variable `POMELOFOLD_WRITE_CODE_CACHE`, the process writes the cache when it exits.
 */

'use strict'

const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const programPath = join(__dirname, 'daemon.cjs')
const cachePath = join(__dirname, 'daemon.cache')
const writesCache = process.env.POMELOFOLD_WRITE_CODE_CACHE !== undefined

const cachedData = !writesCache && existsSync(cachePath) ? readFileSync(cachePath) : undefined
const script = new Script(readFileSync(programPath, 'utf8'), { filename: programPath, cachedData })
if (script.cachedDataRejected) console.log('event=codecache.rejected detail="the cache is of another version of Node.js or of the program"')
if (writesCache) process.once('exit', () => writeFileSync(cachePath, script.createCachedData()))
const program = { exports: {} }
script.runInThisContext()(program.exports, require, program, programPath, __dirname)
