/**
 * Limits on a document's text, checked token by token before a tree is built of
 * it: the tree is built by recursion, so text that nests without end must be
 * refused while it is still text.
 */
import { Lexer, LineCounter, Parser, type CST } from 'yaml'
import type { DocumentFault } from './fault.js'

/** Longest text that is read. */
export const MAXIMUM_DOCUMENT_BYTES = 1024 * 1024

const MAXIMUM_OPEN_COLLECTIONS = 64
const MAXIMUM_MEMBERS = 100
const BYTE_ORDER_MARK = '\uFEFF'

function isMembers (token: CST.Token): token is CST.BlockMap | CST.FlowCollection {
  return token.type === 'block-map' || (token.type === 'flow-collection' && token.start.source === '{')
}

/** The limit that what is open at this point breaks, if any; outermost is the whole text. */
function brokenLimit (open: readonly CST.Token[]): string | undefined {
  if (open.length - 1 > MAXIMUM_OPEN_COLLECTIONS) return `The text nests deeper than ${MAXIMUM_OPEN_COLLECTIONS} levels.`
  const innermost = open.findLast(isMembers)
  if (innermost !== undefined && innermost.items.length > MAXIMUM_MEMBERS) return `There are more than ${MAXIMUM_MEMBERS} members in one place.`
  return undefined
}

function structureFaults (text: string): readonly DocumentFault[] {
  const lines = new LineCounter()
  lines.addNewLine(0)
  const parser = new Parser(lines.addNewLine)
  for (const lexeme of new Lexer().lex(text)) {
    Array.from(parser.next(lexeme))
    const detail = brokenLimit(parser.stack)
    if (detail !== undefined) {
      const { line, col } = lines.linePos(parser.offset)
      return [{ path: '', rule: 'size', detail, line, column: col }]
    }
  }
  return []
}

/** The faults for which a text is not read at all. */
export function textFaults (text: string): readonly DocumentFault[] {
  if (Buffer.byteLength(text) > MAXIMUM_DOCUMENT_BYTES) {
    return [{ path: '', rule: 'size', detail: `The text is over ${MAXIMUM_DOCUMENT_BYTES} bytes.` }]
  }
  if (text.startsWith(BYTE_ORDER_MARK)) {
    return [{ path: '', rule: 'byte-order-mark', detail: 'The text starts with a byte order mark; save it as plain UTF-8.', line: 1, column: 1 }]
  }
  return structureFaults(text)
}
