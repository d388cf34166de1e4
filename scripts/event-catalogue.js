// Generates docs/EVENTS.md from the event catalogue.
import { mkdirSync, writeFileSync } from 'node:fs'
import { eventPage } from '@cornelgauge/telemetry'

mkdirSync('docs', { recursive: true })
writeFileSync('docs/EVENTS.md', eventPage())
