/** Measures the slopes and writes docs/slopes.json: `npm run slopes`. */
import { writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { checkOwner } from './slopes-check.js'
import { DOCUMENT_MEASURES } from './slopes-document.js'
import { JOURNAL_MEASURES } from './slopes-journal.js'
import { OWNER_MEASURES } from './slopes-owner.js'
import { POLICY_MEASURES } from './slopes-policy.js'
import { takeMeasureAtOnce } from './slopes-measure.js'
import { bareProcessBytes, DAEMON_MEASURE } from './slopes-process.js'
import { reportLines, reportOf, reportText, takeMeasures } from './slopes-report.js'
import { TABLE_MEASURES } from './slopes-table.js'
import { WATCH_MEASURES } from './slopes-watch.js'
import { WIRE_MEASURES } from './slopes-wire.js'

const FILE = fileURLToPath(new URL('../../../../docs/slopes.json', import.meta.url))

const MEASURES = [
  ...OWNER_MEASURES, ...POLICY_MEASURES, ...JOURNAL_MEASURES, ...DOCUMENT_MEASURES, ...TABLE_MEASURES, ...WATCH_MEASURES, ...WIRE_MEASURES
]

const slopes = [...await takeMeasures(MEASURES), ...await takeMeasureAtOnce(DAEMON_MEASURE)]
const report = reportOf(slopes, await checkOwner(slopes), await bareProcessBytes())
await writeFile(FILE, reportText(report))
process.stdout.write(`${reportLines(report).join('\n')}\n`)
