/** An engine that prefills a part of another engine's prompt. */
export interface HelperEngine {
  /** `IP:PORT`. */
  address: string;
  /** Id of the memory reservation there; empty if there is none. */
  ticket: string;
}
