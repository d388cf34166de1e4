// Generates docs/CAPACITY.md from docs/slopes.json.
import { readFileSync, writeFileSync } from 'node:fs'
import { capacityPage } from '@cornelgauge/stand-in'

writeFileSync('docs/CAPACITY.md', capacityPage(JSON.parse(readFileSync('docs/slopes.json', 'utf8'))))
