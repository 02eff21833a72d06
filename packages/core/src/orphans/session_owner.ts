/** The incarnation of a router that a session belongs to. */
export interface SessionOwner {
  address: string;
  incarnation: number;
}

/** Parses `ADDRESS#INCARNATION`; undefined if it is malformed. */
export function parseSessionOwner(text: string): SessionOwner | undefined {
  const at = text.lastIndexOf('#');
  const digits = text.slice(at + 1);
  if (at <= 0 || !/^\d+$/.test(digits)) return undefined;
  return {address: text.slice(0, at), incarnation: Number(digits)};
}
