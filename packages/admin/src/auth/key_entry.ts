/** One key of the settings file. */
export interface KeyEntry {
  name: string;
  /** SHA-256 of the key, in lower-case hexadecimal. */
  hash: string;
}
