/**
 * Questionnaire schema, contradictions and configuration generation.
 */
export {};
