/** Entity tag of a row version. */
export function etag(version: number): string {
  return `"${version}"`;
}

/** Version in an `If-Match` header; undefined if it is not one. */
export function versionOf(header: string | undefined): number | undefined {
  const match = /^"(\d{1,15})"$/.exec(header ?? '');
  return match ? Number(match[1]) : undefined;
}
