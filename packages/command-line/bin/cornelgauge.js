#!/usr/bin/env node
// Stands beside the built program, so that it can be linked before the build.
import '../dist/src/main.js'
