import tseslint from "typescript-eslint";
import { packageFolders, packageLayers } from "./scripts/package-layers.mjs";

/** Restricts the imports of one package to the packages that its layer allows. */
function layerRule(name, allowed) {
    const forbidden = Object.keys(packageLayers).filter(other => other !== name && !allowed.includes(other));
    return {
        files: [`${packageFolders[name] ?? `packages/${name}`}/src/**/*.ts`],
        rules: {
            "no-restricted-imports": ["error", {
                paths: forbidden.map(other => ({
                    name: `@lentilramp/${other}`,
                    message: `${name} may not import ${other}; see docs/design.md.`,
                })),
                patterns: [{ group: ["@lentilramp/*/*"], message: "Import a package through its index only." }],
            }],
        },
    };
}

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "UPPER_CASE", "PascalCase"] },
                { selector: "parameter", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-unused-vars": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined; null is allowed only where a JSON protocol requires it.",
            }],
        },
    },
    {
        files: ["**/tests/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
    ...Object.entries(packageLayers).map(([name, allowed]) => layerRule(name, allowed)),
);
