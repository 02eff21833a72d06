const NEEDS_QUOTES = /[",\r\n]|^\s|\s$|^$/;

/** Writes records as CSV as of RFC 4180. */
export function formatCsv(records: readonly (readonly string[])[]): string {
  return records.map(fields => `${fields.map(quote).join(',')}\r\n`).join('');
}

function quote(
  field: string,
  _index: number,
  fields: readonly string[],
): string {
  // An empty field needs quotes only where the line would else be empty.
  if (field === '' && fields.length > 1) return '';
  return NEEDS_QUOTES.test(field) ? `"${field.replaceAll('"', '""')}"` : field;
}
