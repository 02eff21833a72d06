/** A UUIDv7 with a creation time and a number in place of randomness. */
export function uuidV7(timeMs: number, n: number): string {
  const time = Math.floor(timeMs).toString(16).padStart(12, '0');
  const tail = n.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}
