#!/usr/bin/env node
// Not part of the build output, so that npm can link the program before the build.
import '../dist/src/main.js'
