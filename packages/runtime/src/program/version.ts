/** Version of all programs; equals that of package.json. */
export const VERSION = '0.1.0';
