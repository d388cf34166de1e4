// Generates docs/METRICS.md from the metric catalogue.
import { mkdirSync, writeFileSync } from 'node:fs'
import { metricPage } from '@cornelgauge/telemetry'

mkdirSync('docs', { recursive: true })
writeFileSync('docs/METRICS.md', metricPage())
