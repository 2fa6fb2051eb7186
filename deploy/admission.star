# Enables admission control under overload; see docs/admission.md. Other names of the policy
# may be set here too.
admission = True
