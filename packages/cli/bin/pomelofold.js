#!/usr/bin/env node
// Stands at its place before the build, so that npm links the command at install.
import '../dist/pomelofold.js'
