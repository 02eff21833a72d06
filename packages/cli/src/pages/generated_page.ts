/** A page of the documentation that is generated from definitions. */
export interface GeneratedPage {
  /** Path from the root of the repository. */
  file: string;
  content: string;
}
