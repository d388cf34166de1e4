/**
 * Limits on a document's text, checked token by token before its tree is built:
 * the tree is built recursively, so deeply nested text has to be refused before
 * that.
 */
import { Lexer, LineCounter, Parser, type CST } from 'yaml'
import type { DocumentFault } from './fault.js'

/** Maximum size of a document's text. */
export const MAXIMUM_DOCUMENT_BYTES = 1024 * 1024

const MAXIMUM_OPEN_COLLECTIONS = 64
const MAXIMUM_MEMBERS = 100
const BYTE_ORDER_MARK = '\uFEFF'

function isMapping (token: CST.Token): token is CST.BlockMap | CST.FlowCollection {
  return token.type === 'block-map' || (token.type === 'flow-collection' && token.start.source === '{')
}

/** Describes the limit that the open collections exceed, if any. The first of the open tokens is the document itself. */
function exceededLimit (open: readonly CST.Token[]): string | undefined {
  if (open.length - 1 > MAXIMUM_OPEN_COLLECTIONS) return `The text nests deeper than ${MAXIMUM_OPEN_COLLECTIONS} levels.`
  const innermost = open.findLast(isMapping)
  if (innermost !== undefined && innermost.items.length > MAXIMUM_MEMBERS) return `There are more than ${MAXIMUM_MEMBERS} members in one place.`
  return undefined
}

function structureFaults (text: string): readonly DocumentFault[] {
  const lines = new LineCounter()
  lines.addNewLine(0)
  const parser = new Parser(lines.addNewLine)
  for (const lexeme of new Lexer().lex(text)) {
    Array.from(parser.next(lexeme))
    const detail = exceededLimit(parser.stack)
    if (detail !== undefined) {
      const { line, col } = lines.linePos(parser.offset)
      return [{ path: '', rule: 'size', detail, line, column: col }]
    }
  }
  return []
}

/** The faults for which a text is refused without parsing it. */
export function textFaults (text: string): readonly DocumentFault[] {
  if (Buffer.byteLength(text) > MAXIMUM_DOCUMENT_BYTES) {
    return [{ path: '', rule: 'size', detail: `The text is over ${MAXIMUM_DOCUMENT_BYTES} bytes.` }]
  }
  if (text.startsWith(BYTE_ORDER_MARK)) {
    return [{ path: '', rule: 'byte-order-mark', detail: 'The text starts with a byte order mark; save it as plain UTF-8.', line: 1, column: 1 }]
  }
  return structureFaults(text)
}
