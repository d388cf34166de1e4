import { readdirSync, readFileSync } from 'node:fs'
import { EVENT_CATALOGUE, METRIC_CATALOGUE } from '@cornelgauge/telemetry'
import { expect } from 'chai'

const PACKAGES = new URL('../../../', import.meta.url)
const EMITTING = ['scheduler', 'daemon', 'telemetry', 'entry', '../platform'] as const

const files = (name: string): string[] => readdirSync(new URL(`${name}/src/`, PACKAGES)).map(file => readFileSync(new URL(`${name}/src/${file}`, PACKAGES), 'utf8'))

/** Returns the code of a package without its comments, so that examples do not count as emitters. */
const codeOf = (name: string): string => files(name).join('\n').replaceAll(/^\s*(?:\/\*\*|\*|\/\/).*$/gm, '')

const found = (code: string, pattern: RegExp): string[] => [...new Set([...code.matchAll(pattern)].map(match => match[1]!))].sort()

describe('the sources', () => {
  const code = EMITTING.map(codeOf).join('\n')

  it('emit every event of the catalogue, and no other', () => {
    const emitted = found(code, /\b(?:emit|log)\(\s*'([^']+)'/g)
    const reported = found(codeOf('wire'), /readonly type: '([^']+)'(?:, readonly (?:failure|id)\b[^}]*)? \}$/gm)
    const names = Object.keys(EVENT_CATALOGUE)
    expect([...emitted, ...reported.filter(name => names.includes(name))].sort()).to.deep.equal(names.sort())
  })

  it('emit every metric of the catalogue, and no other', () => {
    const sent = found(code, /\b(?:count|gauge|measure)\(\s*'([^']+)'/g)
    const differences = found(code, /^ {4}'([a-z.]+)': .*\b(?:table|client)\.[a-z]+/gim)
    expect([...sent, ...differences].sort()).to.deep.equal(Object.keys(METRIC_CATALOGUE).sort())
  })
})
