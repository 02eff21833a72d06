const NEEDS_QUOTES = /[",\r\n]|^\s|\s$|^$/;

/** Formats records as CSV according to RFC 4180. */
export function formatCsv(records: readonly (readonly string[])[]): string {
  return records.map(fields => `${fields.map(quote).join(',')}\r\n`).join('');
}

function quote(
  field: string,
  _index: number,
  fields: readonly string[],
): string {
  // Without quotes, a record of one empty field would be an empty line.
  if (field === '' && fields.length > 1) return '';
  return NEEDS_QUOTES.test(field) ? `"${field.replaceAll('"', '""')}"` : field;
}
