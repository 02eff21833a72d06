/** Entity tag of a row version. */
export function formatEtag(version: number): string {
  return `"${version}"`;
}

/** Version in an `If-Match` header; undefined if malformed or absent. */
export function parseEtag(header: string | undefined): number | undefined {
  const match = /^"(\d{1,15})"$/.exec(header ?? '');
  return match ? Number(match[1]) : undefined;
}
