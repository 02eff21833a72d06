/** Head of an answer that this process gives by itself. */
export interface RefusalHead {
  status: number;
  headers: Record<string, string>;
}
